#include "common/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace pumicemast {
namespace {

/// easylogging++ writes to standard output or files; operators expect standard error.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::base::type::string_t line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
    std::cerr << line;
  }
};

/// While more bytes than this are buffered, the reader has fallen behind and new lines are dropped.
constexpr std::size_t kBufferLimitBytes = 256U * 1024U;

struct BufferedLines {
  std::string bytes;
  std::uint64_t left_out = 0;
};

BufferedLines& buffered_lines() {
  static BufferedLines lines;
  return lines;
}

class GatheringDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    BufferedLines& lines = buffered_lines();
    if (lines.bytes.size() > kBufferLimitBytes) {
      ++lines.left_out;
      return;
    }
    lines.bytes += data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
  }
};

void configure_format(const std::string& process_name) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + process_name + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
}

}  // namespace

void configure_log(const std::string& process_name) {
  configure_format(process_name);
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>("StandardErrorDispatch");
}

void configure_decision_log(const std::string& process_name) {
  configure_format(process_name);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  el::Helpers::installLogDispatchCallback<GatheringDispatch>("GatheringDispatch");
}

void flush_decision_log() {
  BufferedLines& lines = buffered_lines();
  if (lines.left_out > 0 && lines.bytes.size() < kBufferLimitBytes) {
    const std::uint64_t left_out = lines.left_out;
    lines.left_out = 0;
    LOG(WARNING) << "log lines_left_out=" << left_out << " reason=reader_slow";
  }
  if (lines.bytes.empty()) return;
  const ssize_t count = ::write(STDOUT_FILENO, lines.bytes.data(), lines.bytes.size());
  if (count > 0) lines.bytes.erase(0, static_cast<std::size_t>(count));
}

}  // namespace pumicemast
