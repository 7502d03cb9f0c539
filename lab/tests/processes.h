// Owns what tests share that start processes: scripts in place of a gateway, folders that end with the test.
#ifndef LEMONCHUTE_LAB_TESTS_PROCESSES_H_
#define LEMONCHUTE_LAB_TESTS_PROCESSES_H_

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

#include "tiny.h"

namespace lemonchute::lab {

// A program of this text in place of the gateway.
struct Script {
  explicit Script(const std::string& text) {
    char form[] = "/tmp/lemonchute-lab-script-XXXXXX";
    close(mkstemp(form));
    path = form;
    std::ofstream(path) << "#!/bin/sh\n" << text << "\n";
    chmod(path.c_str(), 0700);
  }
  ~Script() { std::filesystem::remove(path); }
  std::string path;
};

// Processes whose environment names that folder: children of a day with its files there.
inline int ChildrenOf(const std::string& folder) {
  int found = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    std::string text = Slurp(entry.path().string() + "/environ");
    found += text.find("TMPDIR=" + folder) != std::string::npos ? 1 : 0;
  }
  return found;
}

struct Keep {
  Keep() {
    char form[] = "/tmp/lemonchute-lab-test-XXXXXX";
    path = mkdtemp(form);
  }
  ~Keep() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_TESTS_PROCESSES_H_
