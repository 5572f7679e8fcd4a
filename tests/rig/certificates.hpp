// Creates certificate authorities and certificates as PEM files in a temporary directory.
#ifndef MERLINRUN_TESTS_RIG_CERTIFICATES_HPP_
#define MERLINRUN_TESTS_RIG_CERTIFICATES_HPP_

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include "diameter/application.hpp"

namespace merlinrun::rig::testing {

class Certificates {
 public:
  Certificates()
      : folder_(std::filesystem::temp_directory_path() / ("fennelhollow-tls-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
  }
  ~Certificates() { std::filesystem::remove_all(folder_); }
  Certificates(const Certificates&) = delete;
  Certificates& operator=(const Certificates&) = delete;

  // Creates a certificate for the host; the authority is created on first use.
  diameter::TlsFiles Make(const std::string& host, const std::string& authority = "authority") {
    if (!std::filesystem::exists(Path(authority + ".pem")))
      Write(authority, authority, /*is_authority=*/true);
    Write(host, authority, /*is_authority=*/false);
    return {Path(host + ".pem"), Path(host + ".key"), Path(authority + ".pem")};
  }

 private:
  using Key = std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)>;
  using Certificate = std::unique_ptr<X509, void (*)(X509*)>;
  using File = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;

  std::string Path(const std::string& name) const { return (folder_ / name).string(); }
  static void Extend(X509* certificate, int kind, const std::string& value) {
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value.c_str());
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
  }
  void Write(const std::string& name, const std::string& authority, bool is_authority) {
    const Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const Certificate certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 24 * 3600);
    X509_set_pubkey(certificate.get(), key.get());
    const auto set_name = [](X509_NAME* at, const std::string& text) {
      X509_NAME_add_entry_by_txt(at, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(text.c_str()),
                                 -1, -1, 0);
    };
    set_name(X509_get_subject_name(certificate.get()), name);
    set_name(X509_get_issuer_name(certificate.get()), authority);
    if (is_authority) Extend(certificate.get(), NID_basic_constraints, "critical,CA:TRUE");
    if (!is_authority) Extend(certificate.get(), NID_subject_alt_name, "DNS:" + name);
    Key signer(nullptr, EVP_PKEY_free);
    if (!is_authority) {
      const File file(std::fopen(Path(authority + ".key").c_str(), "r"), std::fclose);
      signer.reset(PEM_read_PrivateKey(file.get(), nullptr, nullptr, nullptr));
    }
    X509_sign(certificate.get(), is_authority ? key.get() : signer.get(), EVP_sha256());
    const File pem(std::fopen(Path(name + ".pem").c_str(), "w"), std::fclose);
    PEM_write_X509(pem.get(), certificate.get());
    const File secret(std::fopen(Path(name + ".key").c_str(), "w"), std::fclose);
    PEM_write_PrivateKey(secret.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  }

  const std::filesystem::path folder_;
  long serial_ = 0;
};

}  // namespace merlinrun::rig::testing

#endif  // MERLINRUN_TESTS_RIG_CERTIFICATES_HPP_
