#include "weights/sha256.h"

#include <openssl/evp.h>

namespace pumicemast {
namespace {

int nibble(char character) {
  if (character >= '0' && character <= '9') return character - '0';
  if (character >= 'a' && character <= 'f') return character - 'a' + 10;
  return -1;
}

}  // namespace

struct Sha256Stream::Context {
  EVP_MD_CTX* evp = EVP_MD_CTX_new();
  ~Context() { EVP_MD_CTX_free(evp); }
};

Sha256Stream::Sha256Stream() : context_(std::make_unique<Context>()) {
  EVP_DigestInit_ex(context_->evp, EVP_sha256(), nullptr);
}

Sha256Stream::~Sha256Stream() = default;

void Sha256Stream::update(std::string_view bytes) {
  EVP_DigestUpdate(context_->evp, bytes.data(), bytes.size());
}

Sha256 Sha256Stream::finish() {
  Sha256 digest{};
  EVP_DigestFinal_ex(context_->evp, digest.data(), nullptr);
  return digest;
}

Sha256 sha256(std::string_view bytes) {
  Sha256Stream stream;
  stream.update(bytes);
  return stream.finish();
}

std::string to_hex(const Sha256& digest) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(digest.size() * 2);
  for (const std::uint8_t byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

std::optional<Sha256> parse_sha256(std::string_view hex) {
  Sha256 digest{};
  if (hex.size() != digest.size() * 2) return std::nullopt;
  for (std::size_t index = 0; index < digest.size(); ++index) {
    const int high = nibble(hex[index * 2]);
    const int low = nibble(hex[index * 2 + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    digest[index] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

}  // namespace pumicemast
