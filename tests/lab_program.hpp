// The lab as a program, for tests: a file in, its report out.
#ifndef MEADOWYARD_TESTS_LAB_PROGRAM_HPP_
#define MEADOWYARD_TESTS_LAB_PROGRAM_HPP_

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "lab/process.hpp"

namespace meadowyard::lab {

inline std::string Place(const std::string& name) {
  return ::testing::TempDir() + "meadowyard-lab-" + std::to_string(getpid()) + "-" + name;
}

struct Ended {
  int status = 0;
  std::string text;
  nlohmann::json report;
};

inline Ended RunLab(const std::string& name, const std::string& spec, const std::string& verb = "run") {
  const std::string file = Place(name + ".toml"), log = Place(name + ".log"), json = Place(name + ".json");
  std::ofstream(file) << spec;
  std::vector<std::string> command = {MEADOWYARD_LAB_PROGRAM, verb, file};
  if (verb == "run") command.insert(command.end(), {"--quiet", "--json", json});
  Child child(command, {}, log);
  child.Wait();
  Ended ended{child.status(), "", nullptr};
  std::stringstream text;
  text << std::ifstream(log).rdbuf();
  ended.text = text.str();
  std::ifstream report(json);
  if (report) ended.report = nlohmann::json::parse(report, nullptr, false);
  for (const std::string& path : {file, log, json}) std::remove(path.c_str());
  return ended;
}

inline std::size_t Broken(const Ended& ended, const std::string& rule) {
  return ended.report.is_object() ? ended.report["rules"][rule]["broken"].get<std::size_t>() : 0;
}

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_TESTS_LAB_PROGRAM_HPP_
