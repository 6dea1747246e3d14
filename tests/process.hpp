// The program as a child process, for tests.
#ifndef MEADOWYARD_TESTS_PROCESS_HPP_
#define MEADOWYARD_TESTS_PROCESS_HPP_

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace meadowyard::testing {

// A loopback port that is free now, below those that the kernel gives to outgoing connections: one of these
// could take it before the program listens there.
inline unsigned short FreePortNumber() {
  constexpr int kFirst = 10000, kPorts = 9000;
  static int next = static_cast<int>(getpid()) * 37 % kPorts;
  for (int tries = 0; tries < kPorts; ++tries) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<unsigned short>(kFirst + next++ % kPorts));
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool free = bind(probe, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    close(probe);
    if (free) return ntohs(at.sin_port);
  }
  return 0;
}

class Process {
 public:
  // Starts the program with the variables given; its standard error goes to a file.
  // `prepare` runs in the child last before the program.
  explicit Process(const std::vector<std::pair<std::string, std::string>>& variables,
                   const std::function<void()>& prepare = nullptr)
      : errors_(::testing::TempDir() + "meadowyard-err-" + std::to_string(getpid()) + "-" +
                std::to_string(started_++)),
        pid_(fork()) {
    if (pid_ != 0) return;
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    if (std::freopen(errors_.c_str(), "w", stderr) == nullptr) _exit(99);
    if (prepare) prepare();
    execl(MEADOWYARD_PROGRAM, MEADOWYARD_PROGRAM, nullptr);
    _exit(98);
  }
  ~Process() {
    if (!ended_) kill(pid_, SIGKILL);
    Wait();
    std::remove(errors_.c_str());
  }

  pid_t id() const { return pid_; }
  void Terminate() { kill(pid_, SIGTERM); }
  void HangUp() { kill(pid_, SIGHUP); }
  bool Ended() {
    if (!ended_) ended_ = waitpid(pid_, &status_, WNOHANG) == pid_;
    return ended_;
  }
  int Wait() {  // the exit code; -1 if it was killed
    if (!ended_) ended_ = waitpid(pid_, &status_, 0) == pid_;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  std::string Errors() const {
    std::stringstream text;
    text << std::ifstream(errors_).rdbuf();
    return text.str();
  }

 private:
  static inline int started_ = 0;
  const std::string errors_;
  const pid_t pid_;
  int status_ = 0;
  bool ended_ = false;
};

struct File {
  explicit File(const std::string& text)
      : path(::testing::TempDir() + "meadowyard-process-" + std::to_string(getpid()) + ".json") {
    std::ofstream(path) << text;
  }
  ~File() { std::remove(path.c_str()); }
  const std::string path;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_PROCESS_HPP_
