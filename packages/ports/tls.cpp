#include "ports/tls.h"

#include "util/digest.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <utility>

namespace Catkin
{

namespace
{

/// Other users must neither read nor replace the key; its group may read it, so that a group of services can share one.
constexpr auto forbiddenKeyMode = mode_t{027};

template<typename T, auto free>
struct Deleter
{
    auto operator()(T *object) const -> void
    {
        free(object);
    }
};

using BioPtr = std::unique_ptr<BIO, Deleter<BIO, BIO_free>>;
using CertificatePtr = std::unique_ptr<X509, Deleter<X509, X509_free>>;
using KeyPtr = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY, EVP_PKEY_free>>;

auto socketOf(BIO *bio) -> int
{
    return *static_cast<const int *>(BIO_get_data(bio));
}

/// Sends without SIGPIPE and never blocks; OpenSSL's own socket BIO can do neither on a blocking socket.
auto sendBytes(BIO *bio, const char *data, int size) -> int
{
    BIO_clear_retry_flags(bio);
    const auto n = send(socketOf(bio), data, static_cast<std::size_t>(size), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        BIO_set_retry_write(bio);
    }
    return static_cast<int>(n);
}

auto receiveBytes(BIO *bio, char *data, int size) -> int
{
    BIO_clear_retry_flags(bio);
    const auto n = recv(socketOf(bio), data, static_cast<std::size_t>(size), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        BIO_set_retry_read(bio);
    }
    if (n == 0) {
        BIO_set_flags(bio, BIO_FLAGS_IN_EOF);
    }
    return static_cast<int>(n);
}

auto controlSocket(BIO *bio, int command, long, void *) -> long
{
    switch (command) {
    case BIO_CTRL_FLUSH:
        return 1;
    case BIO_CTRL_EOF:
        return BIO_test_flags(bio, BIO_FLAGS_IN_EOF) != 0 ? 1 : 0;
    default:
        return 0;
    }
}

auto socketMethod() -> const BIO_METHOD *
{
    static const auto *const method = [] {
        auto *made = BIO_meth_new(BIO_get_new_index() | BIO_TYPE_SOURCE_SINK, "socket with deadlines");
        BIO_meth_set_write(made, sendBytes);
        BIO_meth_set_read(made, receiveBytes);
        BIO_meth_set_ctrl(made, controlSocket);
        return made;
    }();
    return method;
}

auto timeText(const ASN1_TIME *time) -> std::string
{
    auto parts = tm{};
    auto buf = std::array<char, 32>{};
    if (ASN1_TIME_to_tm(time, &parts) != 1) {
        return "an unreadable date";
    }
    return {buf.data(), std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S UTC", &parts)};
}

/// @return why a certificate is not valid at @p now; empty when it is.
auto validityError(const X509 *certificate, WallTime now) -> std::string
{
    auto seconds = static_cast<time_t>(std::chrono::duration_cast<Seconds>(now.time_since_epoch()).count());
    if (X509_cmp_time(X509_get0_notAfter(certificate), &seconds) < 0) {
        return "expired on " + timeText(X509_get0_notAfter(certificate));
    }
    if (X509_cmp_time(X509_get0_notBefore(certificate), &seconds) > 0) {
        return "is not valid before " + timeText(X509_get0_notBefore(certificate));
    }
    return {};
}

/// @return the host names and IP numbers that a certificate is valid for.
auto subjectNames(const X509 *certificate) -> std::string
{
    auto text = std::string{};
    auto *names = static_cast<GENERAL_NAMES *>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr));
    for (auto i = 0; i < sk_GENERAL_NAME_num(names); ++i) {
        const auto *name = sk_GENERAL_NAME_value(names, i);
        const auto separator = text.empty() ? "" : ", ";
        if (name->type == GEN_DNS) {
            const auto *value = name->d.dNSName;
            text += separator + std::string(reinterpret_cast<const char *>(ASN1_STRING_get0_data(value)), static_cast<std::size_t>(ASN1_STRING_length(value)));
        } else if (name->type == GEN_IPADD) {
            const auto *value = name->d.iPAddress;
            auto buf = std::array<char, INET6_ADDRSTRLEN>{};
            const auto family = ASN1_STRING_length(value) == 4 ? AF_INET : AF_INET6;
            if (inet_ntop(family, ASN1_STRING_get0_data(value), buf.data(), buf.size()) != nullptr) {
                text += separator + std::string(buf.data());
            }
        }
    }
    GENERAL_NAMES_free(names);
    return text.empty() ? "no name" : text;
}

/// @return the contents; nothing, with the reason in @p error, when the file cannot be read.
auto readFile(const std::string &path, std::string &error) -> std::optional<std::string>
{
    if (std::filesystem::is_directory(path)) {
        error = "file '" + path + "' cannot be read: it is a folder"; // reading it would throw
        return std::nullopt;
    }
    errno = 0;
    auto in = std::ifstream(path, std::ios::binary);
    auto text = std::string(std::istreambuf_iterator<char>(in), {});
    if (!in || in.bad()) {
        error = "file '" + path + "' cannot be read: " + std::system_category().message(errno);
        return std::nullopt;
    }
    return text;
}

auto readCertificates(const std::string &pem) -> std::vector<CertificatePtr>
{
    auto certificates = std::vector<CertificatePtr>{};
    const auto bio = BioPtr{BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size()))};
    while (auto *next = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) {
        certificates.emplace_back(next);
    }
    ERR_clear_error(); // the end of the text is reported as an error
    return certificates;
}

/// What the files held, decoded.
struct Loaded
{
    std::vector<CertificatePtr> chain;
    KeyPtr key;
    std::vector<CertificatePtr> ca;
    std::string digest; // of the contents
    std::vector<TlsFileError> errors;
};

auto readList(Loaded &loaded, TlsFile file, const std::string &path, WallTime now) -> std::vector<CertificatePtr>
{
    auto error = std::string{};
    const auto pem = readFile(path, error);
    loaded.digest += pem ? sha256Hex(*pem) : error;
    if (!pem) {
        loaded.errors.push_back({file, error});
        return {};
    }
    auto list = readCertificates(*pem);
    if (list.empty()) {
        loaded.errors.push_back({file, "file '" + path + "' holds no certificate in PEM form"});
    }
    auto invalid = std::vector<std::string>{};
    for (const auto &it : list) {
        if (const auto reason = validityError(it.get(), now); !reason.empty()) {
            invalid.push_back("a certificate in '" + path + "' ");
            invalid.back() += reason;
        }
    }
    // While a CA is being replaced, its file holds the former one as well, which may expire.
    if (file != TlsFile::Ca || invalid.size() == list.size()) {
        for (auto &it : invalid) {
            loaded.errors.push_back({file, std::move(it)});
        }
    }
    return list;
}

auto readKey(Loaded &loaded, const std::string &path) -> void
{
    struct stat status = {};
    auto error = std::string{};
    const auto pem = readFile(path, error);
    loaded.digest += pem ? sha256Hex(*pem) : error;
    if (!pem) {
        loaded.errors.push_back({TlsFile::Key, error});
        return;
    }
    if (stat(path.c_str(), &status) == 0 && (status.st_mode & forbiddenKeyMode) != 0) {
        loaded.errors.push_back({TlsFile::Key, "file '" + path + "' must not be open to other users or writable by its group; set its mode to 0600 or 0640"});
        loaded.digest += "mode";
    }
    const auto bio = BioPtr{BIO_new_mem_buf(pem->data(), static_cast<int>(pem->size()))};
    // Without this callback OpenSSL would ask for a password on the terminal.
    const auto noPassword = [](char *, int, int, void *) { return -1; };
    loaded.key.reset(PEM_read_bio_PrivateKey(bio.get(), nullptr, noPassword, nullptr));
    if (!loaded.key) {
        loaded.errors.push_back({TlsFile::Key, "file '" + path + "' holds no private key in PEM form, or one with a password"});
    }
    ERR_clear_error();
}

auto loadFiles(TlsRole role, const TlsFiles &files, WallTime now) -> Loaded
{
    auto loaded = Loaded{};
    if (!files.certificate.empty()) {
        loaded.chain = readList(loaded, TlsFile::Certificate, files.certificate, now);
    } else if (role == TlsRole::Server) {
        loaded.errors.push_back({TlsFile::Certificate, "a server needs a certificate"});
    }
    if (!files.key.empty()) {
        readKey(loaded, files.key);
    }
    if (files.certificate.empty() != files.key.empty()) {
        loaded.errors.push_back({TlsFile::Key, "certificate and key are needed together"});
    }
    if (!files.ca.empty()) {
        loaded.ca = readList(loaded, TlsFile::Ca, files.ca, now);
    } else if (role == TlsRole::Client) {
        loaded.errors.push_back({TlsFile::Ca, "a client needs a file with CA certificates"});
    }
    if (!loaded.chain.empty() && loaded.key && X509_check_private_key(loaded.chain.front().get(), loaded.key.get()) != 1) {
        loaded.errors.push_back({TlsFile::Key, "the key in '" + files.key + "' does not belong to the certificate in '" + files.certificate + "'"});
    }
    ERR_clear_error();
    return loaded;
}

/// Clear texts for the ways in which a certificate fails; OpenSSL's own text for the rest.
/// @param depth 0 for the other side's own certificate, above for those that signed it
auto certificateError(const X509 *certificate, int code, int depth, const std::string &expected) -> std::string
{
    const auto subject = std::string(depth == 0 ? "its certificate " : "a certificate that signs its certificate ");
    switch (code) {
    case X509_V_ERR_CERT_HAS_EXPIRED:
        return subject + "expired on " + timeText(X509_get0_notAfter(certificate));
    case X509_V_ERR_CERT_NOT_YET_VALID:
        return subject + "is not valid before " + timeText(X509_get0_notBefore(certificate));
    case X509_V_ERR_HOSTNAME_MISMATCH:
    case X509_V_ERR_IP_ADDRESS_MISMATCH:
        return subject + "is not valid for " + expected + ", only for " + subjectNames(certificate);
    case X509_V_ERR_UNABLE_TO_GET_ISSUER_CERT_LOCALLY:
    case X509_V_ERR_UNABLE_TO_GET_ISSUER_CERT:
    case X509_V_ERR_UNABLE_TO_VERIFY_LEAF_SIGNATURE:
    case X509_V_ERR_DEPTH_ZERO_SELF_SIGNED_CERT:
    case X509_V_ERR_SELF_SIGNED_CERT_IN_CHAIN:
    case X509_V_ERR_CERT_SIGNATURE_FAILURE:
        return "its certificate is not signed by a known CA";
    default:
        return subject + "is not accepted: " + X509_verify_cert_error_string(code);
    }
}

/// Where the verification of one connection puts its findings; OpenSSL drops a certificate that it does not accept.
struct VerificationNotes
{
    std::string expected;
    std::string error;
};

auto noteVerification(int accepted, X509_STORE_CTX *store) -> int
{
    const auto *ssl = static_cast<const SSL *>(X509_STORE_CTX_get_ex_data(store, SSL_get_ex_data_X509_STORE_CTX_idx()));
    auto *const notes = static_cast<VerificationNotes *>(SSL_get_app_data(ssl));
    if (accepted != 1 && notes != nullptr) {
        notes->error
            = certificateError(X509_STORE_CTX_get_current_cert(store), X509_STORE_CTX_get_error(store), X509_STORE_CTX_get_error_depth(store), notes->expected);
    }
    return accepted;
}

auto makeContext(TlsRole role, const Loaded &loaded) -> std::shared_ptr<SSL_CTX>
{
    auto context = std::shared_ptr<SSL_CTX>(SSL_CTX_new(role == TlsRole::Server ? TLS_server_method() : TLS_client_method()), SSL_CTX_free);
    auto *ctx = context.get();
    auto ok = ctx != nullptr && SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION) == 1;
    if (!ok) {
        return nullptr;
    }
    SSL_CTX_set_options(ctx, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
    // An idle connection would otherwise keep 34 KB of buffers, and a process has 64 MB in all.
    SSL_CTX_set_mode(ctx, SSL_MODE_RELEASE_BUFFERS | SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);
    // No session outlives a connection, so that replaced certificates and CAs hold for every new one.
    SSL_CTX_set_num_tickets(ctx, 0);
    SSL_CTX_set_options(ctx, SSL_OP_NO_TICKET);
    if (!loaded.chain.empty()) {
        ok = SSL_CTX_use_certificate(ctx, loaded.chain.front().get()) == 1 && SSL_CTX_use_PrivateKey(ctx, loaded.key.get()) == 1;
        for (auto i = std::size_t{1}; ok && i < loaded.chain.size(); ++i) {
            ok = SSL_CTX_add1_chain_cert(ctx, loaded.chain[i].get()) == 1;
        }
    }
    for (const auto &it : loaded.ca) {
        ok = ok && X509_STORE_add_cert(SSL_CTX_get_cert_store(ctx), it.get()) == 1;
        if (role == TlsRole::Server) {
            ok = ok && SSL_CTX_add_client_CA(ctx, it.get()) == 1;
        }
    }
    SSL_CTX_set_verify(ctx, loaded.ca.empty() ? SSL_VERIFY_NONE : SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, noteVerification);
    return ok ? context : nullptr;
}

}

struct TlsConnection::Verification : VerificationNotes
{
};

TlsConnection::~TlsConnection() = default;

auto checkTlsFiles(TlsRole role, const TlsFiles &files, WallTime now) -> std::vector<TlsFileError>
{
    return loadFiles(role, files, now).errors;
}

TlsCredentials::TlsCredentials(TlsRole role, TlsFiles files, Clock clock)
    : m_role(role)
    , m_files(std::move(files))
    , m_clock(std::move(clock))
{
}

auto TlsCredentials::load(TlsRole role, TlsFiles files, const Clock &clock) -> Result<std::shared_ptr<TlsCredentials>>
{
    auto made = std::shared_ptr<TlsCredentials>(new TlsCredentials(role, std::move(files), clock));
    if (made->refresh() != TlsRefresh::Replaced) {
        return failure(ErrorCode::InvalidInput, made->rejection());
    }
    return made;
}

auto TlsCredentials::current() const -> std::shared_ptr<ssl_ctx_st>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_context;
}

auto TlsCredentials::refresh() -> TlsRefresh
{
    // The contents are compared and not the times of change, because two changes can fall into one tick of the file system's clock.
    auto loaded = loadFiles(m_role, m_files, m_clock.wall());
    const auto lock = std::lock_guard{m_mutex};
    if (m_digest == loaded.digest) {
        return TlsRefresh::Unchanged;
    }
    m_digest = loaded.digest;
    m_rejection.clear();
    for (const auto &it : loaded.errors) {
        m_rejection += (m_rejection.empty() ? "" : "; ") + it.message;
    }
    auto context = m_rejection.empty() ? makeContext(m_role, loaded) : nullptr;
    if (!context) {
        m_rejection = m_rejection.empty() ? "OpenSSL does not accept the certificate or the key" : m_rejection;
        ERR_clear_error();
        return TlsRefresh::Rejected;
    }
    m_context = std::move(context);
    m_validUntil = loaded.chain.empty() ? std::string{} : timeText(X509_get0_notAfter(loaded.chain.front().get()));
    return TlsRefresh::Replaced;
}

auto TlsCredentials::rejection() const -> std::string
{
    const auto lock = std::lock_guard{m_mutex};
    return m_rejection;
}

auto TlsCredentials::validUntil() const -> std::string
{
    const auto lock = std::lock_guard{m_mutex};
    return m_validUntil;
}

TlsConnection::TlsConnection(int sock, const std::shared_ptr<ssl_ctx_st> &context, TlsRole role, const std::string &expected)
    : m_sock(sock)
    , m_verification(std::make_unique<Verification>())
    , m_ssl(SSL_new(context.get()), SSL_free)
{
    m_verification->expected = expected;
    auto *bio = BIO_new(socketMethod());
    BIO_set_data(bio, &m_sock);
    BIO_set_init(bio, 1);
    SSL_set_bio(m_ssl.get(), bio, bio);
    SSL_set_app_data(m_ssl.get(), static_cast<VerificationNotes *>(m_verification.get()));
    if (role == TlsRole::Server) {
        SSL_set_accept_state(m_ssl.get());
        return;
    }
    SSL_set_connect_state(m_ssl.get());
    auto *const param = SSL_get0_param(m_ssl.get());
    if (X509_VERIFY_PARAM_set1_ip_asc(param, expected.c_str()) != 1) {
        X509_VERIFY_PARAM_set_hostflags(param, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
        SSL_set1_host(m_ssl.get(), expected.c_str());
        SSL_set_tlsext_host_name(m_ssl.get(), expected.c_str());
    }
    ERR_clear_error();
}

auto TlsConnection::waitFor(short events, Deadline deadline) -> bool
{
    for (;;) {
        const auto left = std::chrono::ceil<Millis>(deadline - std::chrono::steady_clock::now()).count();
        if (left <= 0) {
            m_timedOut = true;
            return false;
        }
        auto fds = pollfd{.fd = m_sock, .events = events, .revents = 0};
        const auto n = poll(&fds, 1, static_cast<int>(std::min<std::int64_t>(left, 60'000)));
        if (n > 0 || (n < 0 && errno != EINTR)) {
            return n > 0;
        }
    }
}

/// @return whether an operation that gave @p result is to be repeated, after its socket has become ready.
auto TlsConnection::retry(int result, Deadline deadline) -> bool
{
    switch (SSL_get_error(m_ssl.get(), result)) {
    case SSL_ERROR_WANT_READ:
        return waitFor(POLLIN, deadline);
    case SSL_ERROR_WANT_WRITE:
        return waitFor(POLLOUT, deadline);
    default:
        return false;
    }
}

auto TlsConnection::handshakeError() -> Error
{
    if (m_timedOut) {
        return failure(ErrorCode::Timeout, "the TLS handshake did not end in time");
    }
    if (!m_verification->error.empty()) {
        return failure(ErrorCode::Unauthorized, m_verification->error);
    }
    const auto code = ERR_peek_error();
    switch (ERR_GET_REASON(code)) {
    case SSL_R_HTTP_REQUEST:
        m_plainHttp = true;
        [[fallthrough]];
    case SSL_R_WRONG_VERSION_NUMBER:
    case SSL_R_HTTPS_PROXY_REQUEST:
    case SSL_R_PACKET_LENGTH_TOO_LONG:
    case SSL_R_RECORD_LENGTH_MISMATCH:
        return failure(ErrorCode::Protocol, "the other side does not speak TLS");
    case SSL_R_PEER_DID_NOT_RETURN_A_CERTIFICATE:
        return failure(ErrorCode::Unauthorized, "the client gave no certificate");
    case SSL_R_TLSV1_ALERT_UNKNOWN_CA:
        return failure(ErrorCode::Unauthorized, "the other side does not know the CA of this side's certificate");
    case SSL_R_UNEXPECTED_EOF_WHILE_READING:
        return failure(ErrorCode::Unavailable, "the connection was closed during the TLS handshake");
    default:
        break;
    }
    if (code == 0) {
        return failure(ErrorCode::Unavailable, "the connection was closed during the TLS handshake");
    }
    const auto *reason = ERR_reason_error_string(code);
    return failure(ErrorCode::Protocol, std::string("the TLS handshake failed: ") + (reason == nullptr ? "unknown reason" : reason));
}

auto TlsConnection::handshake(Deadline deadline) -> Result<void>
{
    for (;;) {
        ERR_clear_error();
        const auto n = SSL_do_handshake(m_ssl.get());
        if (n == 1) {
            m_established = true;
            return success();
        }
        if (!retry(n, deadline)) {
            auto error = handshakeError();
            ERR_clear_error();
            return error;
        }
    }
}

auto TlsConnection::read(char *data, std::size_t size, Deadline deadline) -> ssize_t
{
    for (;;) {
        ERR_clear_error();
        const auto n = SSL_read(m_ssl.get(), data, static_cast<int>(std::min<std::size_t>(size, INT_MAX)));
        if (n > 0) {
            return n;
        }
        if (SSL_get_error(m_ssl.get(), n) == SSL_ERROR_ZERO_RETURN) {
            return 0;
        }
        if (!retry(n, deadline)) {
            noteFailure();
            return -1;
        }
    }
}

auto TlsConnection::write(const char *data, std::size_t size, Deadline deadline) -> ssize_t
{
    for (;;) {
        ERR_clear_error();
        const auto n = SSL_write(m_ssl.get(), data, static_cast<int>(std::min<std::size_t>(size, INT_MAX)));
        if (n > 0) {
            return n;
        }
        if (!retry(n, deadline)) {
            noteFailure();
            return -1;
        }
    }
}

/// A server that refuses a TLS 1.3 client's certificate says so only after the client has sent its request.
auto TlsConnection::noteFailure() -> void
{
    switch (ERR_GET_REASON(ERR_peek_error())) {
    case SSL_R_TLSV13_ALERT_CERTIFICATE_REQUIRED:
        m_failure = "the server requires a client certificate";
        break;
    case SSL_R_TLSV1_ALERT_UNKNOWN_CA:
        m_failure = "the server does not know the CA of the client's certificate";
        break;
    case SSL_R_SSLV3_ALERT_CERTIFICATE_EXPIRED:
        m_failure = "the client's certificate has expired";
        break;
    case SSL_R_SSLV3_ALERT_BAD_CERTIFICATE:
    case SSL_R_SSLV3_ALERT_CERTIFICATE_UNKNOWN:
        m_failure = "the server does not accept the client's certificate";
        break;
    case SSL_R_UNEXPECTED_EOF_WHILE_READING:
        m_failure = "the connection was cut off";
        break;
    default:
        break;
    }
    ERR_clear_error();
}

auto TlsConnection::failureReason() const -> std::string
{
    return m_failure;
}

auto TlsConnection::pending() const -> bool
{
    return SSL_pending(m_ssl.get()) > 0;
}

auto TlsConnection::timedOut() const -> bool
{
    return m_timedOut;
}

auto TlsConnection::sawPlainHttp() const -> bool
{
    return m_plainHttp;
}

auto TlsConnection::close() -> void
{
    if (m_established) {
        SSL_shutdown(m_ssl.get());
    }
    ERR_clear_error();
}

}
