/// @file
/// meadowyard_simulator_adapter: connects the decision module to the simulator, whose text protocol it reads
/// from standard input and answers on standard output. If the input is malformed, it writes one line to
/// standard error and exits with status 1.
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>

#include "simulator/simulator_session.hpp"

namespace {

constexpr const char* kProgram = "meadowyard_simulator_adapter";
constexpr std::size_t kChunkSize = 1 << 16;  // bytes

bool WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(STDOUT_FILENO, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// Reads standard input line by line and writes the replies to standard output.
class LineLoop {
 public:
  // Returns the exit status.
  int Run() {
    std::string chunk(kChunkSize, '\0');
    for (;;) {
      const ssize_t size = read(STDIN_FILENO, chunk.data(), chunk.size());
      if (size < 0 && errno == EINTR) continue;
      if (size < 0) {
        std::perror("meadowyard_simulator_adapter: standard input");
        return 1;
      }
      if (size == 0) return Finish();
      pending_.append(chunk, 0, static_cast<std::size_t>(size));
      if (!ConsumeLines()) return 1;
    }
  }

 private:
  bool ConsumeLines() {
    std::size_t start = 0;
    for (std::size_t end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n', start)) {
      ++line_number_;
      if (!ConsumeLine(std::string_view(pending_).substr(start, end - start))) return false;
      start = end + 1;
    }
    pending_.erase(0, start);
    return true;
  }

  bool ConsumeLine(std::string_view line) {
    try {
      session_.ConsumeLine(line);
    } catch (const std::exception& error) {
      Report(line_number_, error.what());
      return false;
    }
    const std::string reply = session_.TakeReply();
    return reply.empty() || WriteAll(reply);
  }

  int Finish() {
    if (!pending_.empty()) {
      Report(line_number_ + 1, "input ends inside a line");
      return 1;
    }
    if (session_.IsInBatch()) {
      Report(line_number_, "input ends inside a batch");
      return 1;
    }
    return 0;
  }

  static void Report(unsigned long long line_number, const char* problem) {
    std::fprintf(stderr, "%s: line %llu: %s\n", kProgram, line_number, problem);
  }

  meadowyard::simulator::SimulatorSession session_;
  std::string pending_;  // input after the last complete line
  unsigned long long line_number_ = 0;
};

}  // namespace

int main() { return LineLoop().Run(); }
