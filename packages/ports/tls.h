#pragma once

/// Certificates, and TLS over a connected socket with deadlines.
///
/// @code
///   auto credentials = Catkin::TlsCredentials::load(Catkin::TlsRole::Server, {.certificate = "c.pem", .key = "k.pem"}, clock);
///   auto tls = Catkin::TlsConnection{sock, credentials.value()->current(), Catkin::TlsRole::Server};
///   auto done = tls.handshake(deadline);
///   auto refreshed = credentials.value()->refresh();     // connections that are open keep the context that they started with
/// @endcode
///
/// OpenSSL's headers stay in the sources.

#include "util/clock.h"
#include "util/outcome.h"
#include "util/units.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

struct ssl_ctx_st;
struct ssl_st;

namespace Catkin
{

enum class TlsRole { Server, Client };

/// PEM files; an empty path means that there is none.
struct TlsFiles
{
    std::string certificate; ///< own certificate, followed by intermediate ones
    std::string key; ///< private key of the certificate, without a password
    std::string ca; ///< certificates that the other side's one must be signed by; a server without it asks for none
};

enum class TlsFile { Certificate, Key, Ca };

struct TlsFileError
{
    TlsFile file = TlsFile::Certificate;
    std::string message;
};

/// Reads the files and checks that they can be used together: readable, the key safe from other users, key and certificate
/// a pair, certificates valid at @p now.
/// @return every error found.
auto checkTlsFiles(TlsRole role, const TlsFiles &files, WallTime now) -> std::vector<TlsFileError>;

/// What TlsCredentials::refresh() found.
enum class TlsRefresh { Unchanged, Replaced, Rejected };

/// The files of one side, read again when their contents change. Thread-safe.
class TlsCredentials
{
public:
    /// @return the credentials; ErrorCode::InvalidInput with every error of checkTlsFiles().
    static auto load(TlsRole role, TlsFiles files, const Clock &clock) -> Result<std::shared_ptr<TlsCredentials>>;

    /// @return the context for new connections.
    [[nodiscard]] auto current() const -> std::shared_ptr<ssl_ctx_st>;

    /// Reads the files; unusable contents are reported once, and the earlier ones stay in use.
    auto refresh() -> TlsRefresh;

    /// @return why the last refresh was rejected.
    [[nodiscard]] auto rejection() const -> std::string;

    /// @return the end of the certificate's validity as text; empty without a certificate.
    [[nodiscard]] auto validUntil() const -> std::string;

private:
    TlsCredentials(TlsRole role, TlsFiles files, Clock clock);

    const TlsRole m_role;
    const TlsFiles m_files;
    const Clock m_clock;
    mutable std::mutex m_mutex; // guards the members below
    std::shared_ptr<ssl_ctx_st> m_context;
    std::string m_digest; // of the contents that were tried last
    std::string m_rejection;
    std::string m_validUntil;
};

/// One connection. The socket stays the caller's; it may be blocking, every function keeps its deadline all the same.
class TlsConnection
{
public:
    using Deadline = std::chrono::steady_clock::time_point;

    /// @param context of TlsCredentials::current()
    /// @param expected client only: host name or IP number that the server's certificate must be valid for
    TlsConnection(int sock, const std::shared_ptr<ssl_ctx_st> &context, TlsRole role, const std::string &expected = {});

    ~TlsConnection();
    TlsConnection(const TlsConnection &) = delete;
    auto operator=(const TlsConnection &) -> TlsConnection & = delete;

    /// @return ErrorCode::Unauthorized when a certificate is not accepted, ErrorCode::Timeout at the deadline, ErrorCode::Protocol when the
    /// other side does not speak TLS, ErrorCode::Unavailable when it closed the connection; the message names the cause.
    auto handshake(Deadline deadline) -> Result<void>;

    /// @return bytes read; 0 at the end that the other side announced; -1 on an error, a connection cut off, or at the deadline.
    auto read(char *data, std::size_t size, Deadline deadline) -> ssize_t;
    /// @return bytes written, at least one; -1 on an error or at the deadline.
    auto write(const char *data, std::size_t size, Deadline deadline) -> ssize_t;

    /// @return whether bytes can be read without the socket becoming readable.
    [[nodiscard]] auto pending() const -> bool;
    /// @return whether the last failure was the deadline.
    [[nodiscard]] auto timedOut() const -> bool;
    /// @return why the last read or write failed, as far as the other side or the protocol says it; may be empty.
    [[nodiscard]] auto failureReason() const -> std::string;
    /// @return whether the handshake failed because the other side sent an HTTP request in plain text.
    [[nodiscard]] auto sawPlainHttp() const -> bool;

    /// Announces the end to the other side, without waiting.
    auto close() -> void;

private:
    struct Verification;

    auto retry(int result, Deadline deadline) -> bool;
    auto waitFor(short events, Deadline deadline) -> bool;
    [[nodiscard]] auto handshakeError() -> Error;
    auto noteFailure() -> void;

    int m_sock;
    std::unique_ptr<Verification> m_verification; // what m_ssl refers to
    std::shared_ptr<ssl_st> m_ssl;
    bool m_established = false;
    bool m_timedOut = false;
    bool m_plainHttp = false;
    std::string m_failure;
};

}
