#pragma once

/// Certificates for tests, made at run time in a temporary folder that is removed with the object.
///
/// @code
///   auto made = Catkin::TestCertificates{};
///   auto server = made.issue("server", {.ip = "127.0.0.1"});       // signed by the CA in made.ca()
///   auto stranger = made.issue("stranger", {.ip = "127.0.0.1", .issuer = "other-ca"});
/// @endcode
/// Functions throw std::runtime_error when a certificate cannot be made.

#include "ports/tls.h"
#include "util/units.h"

#include <map>
#include <memory>
#include <string>

namespace Catkin
{

struct CertificateParams
{
    std::string ip; ///< IP number that the certificate is valid for
    std::string dns; ///< host name that the certificate is valid for
    Seconds validFrom{-3600}; ///< relative to now
    Seconds validUntil{86400}; ///< relative to now
    std::string issuer = "ca"; ///< name of a CA, made when it is first used
};

class TestCertificates
{
public:
    TestCertificates();
    ~TestCertificates();
    TestCertificates(const TestCertificates &) = delete;
    auto operator=(const TestCertificates &) -> TestCertificates & = delete;

    /// Writes NAME.pem and NAME.key, replacing earlier ones.
    /// @return the two paths.
    auto issue(const std::string &name, const CertificateParams &params) -> TlsFiles;

    /// @return the path of a CA's certificate.
    auto ca(const std::string &name = "ca") -> std::string;

    /// @return client credentials that trust one CA, with an own certificate if @p own names one.
    auto client(const std::string &caName = "ca", const TlsFiles &own = {}) -> std::shared_ptr<TlsCredentials>;

    /// @return the path of a file in the folder.
    [[nodiscard]] auto path(const std::string &file) const -> std::string;

    /// Writes a file that only its owner can read.
    /// @return its path.
    auto write(const std::string &file, const std::string &text) const -> std::string; // NOLINT(modernize-use-nodiscard)

private:
    struct Issuer;

    auto issuer(const std::string &name) -> Issuer &;

    std::string m_folder;
    std::map<std::string, std::unique_ptr<Issuer>> m_issuers;
};

}
