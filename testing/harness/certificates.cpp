#include "harness/certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Catkin
{

namespace
{

using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using BioPtr = std::unique_ptr<BIO, decltype(&BIO_free)>;

auto require(bool holds, const char *what) -> void
{
    if (!holds) {
        throw std::runtime_error(std::string("test certificate: ") + what);
    }
}

auto makeKey() -> KeyPtr
{
    auto key = KeyPtr{EVP_EC_gen("P-256"), EVP_PKEY_free};
    require(key != nullptr, "no key");
    return key;
}

auto addExtension(X509 *certificate, int nid, const std::string &value) -> void
{
    auto *extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
    require(extension != nullptr && X509_add_ext(certificate, extension, -1) == 1, "no extension");
    X509_EXTENSION_free(extension);
}

auto makeCertificate(const std::string &name, EVP_PKEY *key, const CertificateParams &params, const X509 *issuer, EVP_PKEY *issuerKey) -> CertificatePtr
{
    static auto serial = 1L;
    auto made = CertificatePtr{X509_new(), X509_free};
    auto *const it = made.get();
    X509_set_version(it, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(it), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(it), params.validFrom.count());
    X509_gmtime_adj(X509_getm_notAfter(it), params.validUntil.count());
    X509_set_pubkey(it, key);
    auto *const subject = X509_get_subject_name(it);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(it, issuer == nullptr ? subject : X509_get_subject_name(issuer));
    if (issuer == nullptr) {
        addExtension(it, NID_basic_constraints, "critical,CA:TRUE");
    }
    if (!params.ip.empty() || !params.dns.empty()) {
        const auto separator = params.ip.empty() || params.dns.empty() ? "" : ",";
        addExtension(it, NID_subject_alt_name, (params.ip.empty() ? "" : "IP:" + params.ip) + separator + (params.dns.empty() ? "" : "DNS:" + params.dns));
    }
    require(X509_sign(it, issuerKey, EVP_sha256()) > 0, "cannot sign");
    return made;
}

auto textOf(BIO *bio) -> std::string
{
    char *data = nullptr;
    const auto n = BIO_get_mem_data(bio, &data);
    return {data, static_cast<std::size_t>(n)};
}

auto pemOf(X509 *certificate) -> std::string
{
    const auto bio = BioPtr{BIO_new(BIO_s_mem()), BIO_free};
    require(PEM_write_bio_X509(bio.get(), certificate) == 1, "cannot write");
    return textOf(bio.get());
}

auto pemOf(EVP_PKEY *key) -> std::string
{
    const auto bio = BioPtr{BIO_new(BIO_s_mem()), BIO_free};
    require(PEM_write_bio_PrivateKey(bio.get(), key, nullptr, nullptr, 0, nullptr, nullptr) == 1, "cannot write");
    return textOf(bio.get());
}

}

struct TestCertificates::Issuer
{
    KeyPtr key;
    CertificatePtr certificate;
};

TestCertificates::TestCertificates()
{
    auto folder = (std::filesystem::temp_directory_path() / "catkin-tls-XXXXXX").string();
    require(mkdtemp(folder.data()) != nullptr, "no folder");
    m_folder = folder;
}

TestCertificates::~TestCertificates()
{
    auto ec = std::error_code{};
    std::filesystem::remove_all(m_folder, ec);
}

auto TestCertificates::path(const std::string &file) const -> std::string
{
    return m_folder + "/" + file;
}

auto TestCertificates::write(const std::string &file, const std::string &text) const -> std::string
{
    std::ofstream(path(file), std::ios::binary) << text;
    require(chmod(path(file).c_str(), 0600) == 0, "cannot set the mode");
    return path(file);
}

auto TestCertificates::issuer(const std::string &name) -> Issuer &
{
    auto &known = m_issuers[name];
    if (!known) {
        auto key = makeKey();
        auto certificate = makeCertificate(name, key.get(), {}, nullptr, key.get());
        write(name + ".pem", pemOf(certificate.get()));
        known = std::make_unique<Issuer>(Issuer{.key = std::move(key), .certificate = std::move(certificate)});
    }
    return *known;
}

auto TestCertificates::issue(const std::string &name, const CertificateParams &params) -> TlsFiles
{
    const auto &by = issuer(params.issuer);
    const auto key = makeKey();
    const auto certificate = makeCertificate(name, key.get(), params, by.certificate.get(), by.key.get());
    return {.certificate = write(name + ".pem", pemOf(certificate.get())), .key = write(name + ".key", pemOf(key.get())), .ca = {}};
}

auto TestCertificates::ca(const std::string &name) -> std::string
{
    issuer(name);
    return path(name + ".pem");
}

auto TestCertificates::client(const std::string &caName, const TlsFiles &own) -> std::shared_ptr<TlsCredentials>
{
    auto files = own;
    files.ca = ca(caName);
    auto loaded = TlsCredentials::load(TlsRole::Client, files, systemClock());
    require(loaded.has_value(), "unusable credentials");
    return loaded.value();
}

}
