// fork and exec: the child asks the kernel to be killed with its parent before it becomes the gateway.
#include "play/real/process.h"

#include <fcntl.h>
#include <linux/capability.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <vector>

extern char** environ;

namespace lemonchute::lab {

Process::Process(const Start& start) {
  if (access(start.program.c_str(), X_OK) != 0) {
    throw std::system_error(errno, std::generic_category(), "no gateway program at " + start.program);
  }
  std::vector<std::string> texts;
  for (char** at = environ; *at != nullptr; ++at) {
    std::string text = *at, name = text.substr(0, text.find('='));
    if (name.rfind("LB_", 0) != 0 && start.environment.count(name) == 0) texts.push_back(text);
  }
  for (const auto& [name, value] : start.environment) texts.push_back(name + "=" + value);
  std::vector<char*> environment;
  for (std::string& text : texts) environment.push_back(text.data());
  environment.push_back(nullptr);
  int log = open(start.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) throw std::system_error(errno, std::generic_category(), "cannot write the log " + start.log);
  rlimit limit{static_cast<rlim_t>(start.descriptors), static_cast<rlim_t>(start.descriptors)};
  rlimit file_limit{start.file_bytes, start.file_bytes};
  char program[] = "gateway";
  char* arguments[] = {program, nullptr};
  pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {  // only calls that are safe after a fork
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    int input = open("/dev/null", O_RDONLY);
    dup2(input, 0), dup2(log, 1), dup2(log, 2);
    int from = 3;
    if (start.listening >= 0) dup2(start.listening, 4), close(3), from = 5;
    close_range(static_cast<unsigned>(from), ~0u, 0);
    setrlimit(RLIMIT_NOFILE, &limit);
    setrlimit(RLIMIT_FSIZE, &file_limit);
    signal(SIGXFSZ, SIG_IGN);  // the write gets its no, and the process lives on
    // The platform runs gateways as an ordinary user: permissions bind here too, where the lab is root's.
    prctl(PR_CAPBSET_DROP, CAP_DAC_OVERRIDE);
    prctl(PR_CAPBSET_DROP, CAP_DAC_READ_SEARCH);
    signal(SIGINT, SIG_IGN);  // Ctrl-C is the lab's to pass on
    execve(start.program.c_str(), arguments, environment.data());
    // Into its log: the number of the error, as nothing else is safe here.
    char why[] = "cannot be run: error 000\n";
    int number = errno;
    for (size_t digit = 0; digit < 3; ++digit, number /= 10)
      why[sizeof(why) - 3 - digit] = static_cast<char>('0' + number % 10);
    [[maybe_unused]] ssize_t written = write(2, why, sizeof(why) - 1);
    _exit(127);
  }
  int failure = errno;
  close(log);
  if (pid_ < 0) throw std::system_error(failure, std::generic_category(), "cannot start a gateway");
}

Process::~Process() {
  if (reaped_) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) const {
  if (!reaped_) kill(pid_, signal);
}

std::optional<std::string> Process::Ended() {
  if (reaped_) return how_;
  int status = 0;
  rusage used{};
  if (wait4(pid_, &status, WNOHANG, &used) != pid_) return std::nullopt;
  reaped_ = true;
  auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) * 1e-6;
  };
  use_.cpu_s = seconds(used.ru_utime) + seconds(used.ru_stime);
  use_.peak_kb = std::max(use_.peak_kb, used.ru_maxrss);
  how_ = WIFSIGNALED(status) ? "was ended by signal " + std::to_string(WTERMSIG(status))
                             : "exited with status " + std::to_string(WEXITSTATUS(status));
  return how_;
}

ProcessUse Process::Use() {
  if (Ended()) return use_;
  std::string at = "/proc/" + std::to_string(pid_);
  std::ifstream status(at + "/status"), stat(at + "/stat");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) use_.peak_kb = std::atol(line.c_str() + 6);
  }
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
  std::string skipped;
  long user = 0, system = 0;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  fields >> user >> system;
  use_.cpu_s = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::error_code ignored;
  use_.descriptors = 0;
  for (auto entry = std::filesystem::directory_iterator(at + "/fd", ignored);
       entry != std::filesystem::directory_iterator(); entry.increment(ignored))
    ++use_.descriptors;
  return use_;
}

}  // namespace lemonchute::lab
