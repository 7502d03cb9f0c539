// Owns one gateway process: its start with the platform's environment, its signals, its end and what it used.
// It ends with the lab, however the lab ends.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_PROCESS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>

namespace lemonchute::lab {

struct ProcessUse {
  double cpu_s = 0;
  long peak_kb = 0;
  size_t descriptors = 0;
};

class Process {
 public:
  struct Start {
    std::string program;                             // a path
    std::map<std::string, std::string> environment;  // beside the lab's own
    std::string log;                                 // file that takes its output
    int descriptors = 1024;                          // limit
    uint64_t file_bytes = uint64_t{256} << 20;       // the longest file it may write; further bytes get a no
    int listening = -1;                              // a socket that it inherits as descriptor 4
  };
  // Throws std::system_error where it can't be started.
  explicit Process(const Start& start);
  ~Process();  // ends it at once where it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  int64_t id() const { return pid_; }
  void Signal(int signal) const;
  // How it ended, in plain words; none while it runs.
  std::optional<std::string> Ended();
  ProcessUse Use();  // what it used so far; as last seen where it has ended

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
  std::string how_;
  ProcessUse use_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_PROCESS_H_
