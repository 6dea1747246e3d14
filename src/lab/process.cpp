#include "lab/process.hpp"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace meadowyard::lab {
namespace {

constexpr int kFirstPort = 20000, kPorts = 10000;

sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

struct Fd {
  explicit Fd(int n) : fd(n) {}
  ~Fd() {
    if (fd >= 0) ::close(fd);
  }
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  const int fd;
};

}  // namespace

Usage UsageOf(int pid) {
  Usage usage;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream stat(folder + "/stat");
  std::string text;
  std::getline(stat, text);
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return usage;
  std::istringstream fields(text.substr(name_end + 2));
  std::string field;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> field; ++i) {  // utime is field 14, stime 15 (proc(5))
    if (i >= 14) ticks += std::strtod(field.c_str(), nullptr);
  }
  usage.cpu_ms = 1000 * ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream sched(folder + "/schedstat");  // in nanoseconds, where the kernel keeps it
  if (double ns = 0; sched >> ns && ns > 0) usage.cpu_ms = ns / 1e6;
  std::ifstream status(folder + "/status");
  while (std::getline(status, text)) {
    if (text.starts_with("VmRSS:")) usage.resident_kb = std::strtod(text.c_str() + 6, nullptr);
    if (text.starts_with("VmHWM:")) usage.peak_kb = std::strtod(text.c_str() + 6, nullptr);
  }
  if (DIR* const open = ::opendir((folder + "/fd").c_str())) {
    while (::readdir(open) != nullptr) ++usage.descriptors;
    usage.descriptors -= 2;
    ::closedir(open);
  }
  return usage;
}

Child::Child(const std::vector<std::string>& command, const std::map<std::string, std::string>& variables,
             const std::string& log)
    : log_(log) {
  std::fflush(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("can't start " + command.front());
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setpgid(0, 0);  // an interrupt at the terminal is the lab's to deal with
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (fd >= 0) {
    ::dup2(fd, 1);
    ::dup2(fd, 2);
  }
  for (int i = 3; i < 1024; ++i) ::close(i);
  for (const auto& [name, value] : variables) ::setenv(name.c_str(), value.c_str(), 1);
  std::vector<char*> words;
  for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  ::execvp(words[0], words.data());
  std::perror(words[0]);
  ::_exit(127);
}

Child::~Child() {
  if (Ended()) return;
  Signal(SIGKILL);
  Wait();
}

void Child::Signal(int signal) const {
  if (!ended_) ::kill(pid_, signal);
}

bool Child::Ended() {
  if (ended_) return true;
  int status = 0;
  ended_ = ::waitpid(pid_, &status, WNOHANG) == pid_;
  if (ended_) status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return ended_;
}

void Child::Wait() {
  if (ended_) return;
  int status = 0;
  ::waitpid(pid_, &status, 0);
  ended_ = true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string Child::LastLine() const {
  std::ifstream stream(log_);
  std::string line, last;
  while (std::getline(stream, line)) {
    if (!line.empty()) last = line;
  }
  return last.empty() ? "it wrote nothing" : last;
}

// Below the ports that the kernel gives to outgoing connections: one of those could take the port before it
// is listened at. Where all are taken, any.
std::string FreeAddress() {
  static int next = kFirstPort + static_cast<int>(::getpid()) * 37 % kPorts;
  for (int tries = 0; tries <= kPorts; ++tries) {
    const Fd probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at = Loopback(tries == kPorts ? 0 : next);
    next = next + 1 < kFirstPort + kPorts ? next + 1 : kFirstPort;
    socklen_t size = sizeof at;
    if (::bind(probe.fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
        ::getsockname(probe.fd, reinterpret_cast<sockaddr*>(&at), &size) == 0) {
      return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }
  }
  throw std::runtime_error("no free loopback port");
}

int Ask(const std::string& address, const std::string& path, Millis most) {
  const Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval limit{static_cast<time_t>(most / 1000),
                static_cast<suseconds_t>(static_cast<long>(most * 1000) % 1000000)};
  ::setsockopt(socket.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(socket.fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in at = Loopback(std::atoi(address.c_str() + address.rfind(':') + 1));
  if (::connect(socket.fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return 0;
  const std::string call = "GET " + path + " HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
  if (::send(socket.fd, call.data(), call.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(call.size()))
    return 0;
  char answer[64] = {};
  const ssize_t got = ::recv(socket.fd, answer, sizeof answer - 1, 0);
  return got > 12 ? std::atoi(answer + 9) : 0;
}

}  // namespace meadowyard::lab
