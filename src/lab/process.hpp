// A program that the lab starts, watches and ends: each child is ended with its owner.
#ifndef MEADOWYARD_LAB_PROCESS_HPP_
#define MEADOWYARD_LAB_PROCESS_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::lab {

struct Usage {
  double cpu_ms = 0;  // so far
  double resident_kb = 0, peak_kb = 0;
  int descriptors = 0;
};
// Of a process that runs, from /proc; zeros if it has ended.
Usage UsageOf(int pid);

class Child {
 public:
  // Its standard output and error go to `log`. Throws std::runtime_error if it can't be started.
  Child(const std::vector<std::string>& command, const std::map<std::string, std::string>& variables,
        const std::string& log);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  int pid() const { return pid_; }
  void Signal(int signal) const;
  bool Ended();
  // Exit status, or minus the signal's number.
  int status() const { return status_; }
  void Wait();
  // The last line of its log, to say why it ended.
  std::string LastLine() const;

 private:
  const std::string log_;
  int pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

// A loopback address with a port that is free at the moment.
std::string FreeAddress();
// A GET on a connection of its own; the status, or 0 if there was no answer within the time.
int Ask(const std::string& address, const std::string& path, Millis most);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_PROCESS_HPP_
