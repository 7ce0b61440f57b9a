/// A temporary folder that is removed with its contents on destruction.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace pumicemast::tests {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "pumicemast-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
    path_ = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Writes a file and returns its path.
  std::string write(const std::string& name, const std::string& content) const {
    const std::filesystem::path path = std::filesystem::path(path_) / name;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path, std::ios::binary) << content;
    return path.string();
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace pumicemast::tests
