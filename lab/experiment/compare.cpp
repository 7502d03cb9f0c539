// Each build plays in a process of its own: A then B on one seed, B then A on the next, so that what drifts
// with time falls on both alike.
#include "experiment/compare.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>

#include "experiment/statistics.h"
#include "play/real/real_day.h"

extern char** environ;

namespace lemonchute::lab {
namespace {

constexpr const char* kEndsWithParent = "LEMONCHUTE_LAB_PARENT";

// What is compared; a path of keys in a report.
const std::vector<std::pair<const char*, const char*>> kFigures = {{"g", "/g"},
                                                                   {"served", "/served"},
                                                                   {"worst_plan", "/worst_plan"},
                                                                   {"over_quota", "/prices/over_quota"},
                                                                   {"refused_share", "/refused_share"},
                                                                   {"needless", "/marks/refused_needlessly"},
                                                                   {"attempts", "/counts/attempts"},
                                                                   {"calls", "/counts/calls"},
                                                                   {"handshakes", "/counts/handshakes"},
                                                                   {"p99_ms", "/latency_ms/p99"},
                                                                   {"broken", "/broken"}};

}  // namespace

void EndWithParent() {
  const char* parent = getenv(kEndsWithParent);
  if (parent == nullptr) return;
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (std::to_string(getppid()) != parent) raise(SIGTERM);  // it was gone before we asked
}

std::string Capture(const std::string& program, const std::vector<std::string>& arguments) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) throw CannotPlay("no descriptors are left for another program");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  pid_t pid = 0;
  // It ends with us, however we end.
  std::string with_parent = std::string(kEndsWithParent) + "=" + std::to_string(getpid());
  std::vector<char*> environment{with_parent.data()};
  for (char** at = environ; *at != nullptr; ++at) {
    if (std::string_view(*at).rfind(kEndsWithParent, 0) != 0) environment.push_back(*at);
  }
  environment.push_back(nullptr);
  int failed = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (failed != 0) {
    close(ends[0]);
    throw CannotPlay("cannot start " + program + ": " + std::generic_category().message(failed));
  }
  std::string text;
  std::array<char, 65536> part;
  for (ssize_t n = 0; (n = read(ends[0], part.data(), part.size())) != 0;) {
    if (n > 0)
      text.append(part.data(), static_cast<size_t>(n));
    else if (errno != EINTR)
      break;
  }
  close(ends[0]);
  int status = 0;
  waitpid(pid, &status, 0);
  // 0 and 1 are a yes and a no to what was expected; all else has no result.
  if (!WIFEXITED(status) || WEXITSTATUS(status) > 1) throw CannotPlay(program + " ended without a result");
  return text;
}

nlohmann::json Compare(const Builds& builds) {
  nlohmann::json result = {{"a", builds.a}, {"b", builds.b}, {"scenarios", nlohmann::json::array()}};
  size_t days = builds.scenarios.size() * static_cast<size_t>(builds.last_seed - builds.first_seed + 1),
         done = 0;
  for (const std::string& scenario : builds.scenarios) {
    std::vector<std::vector<double>> a(kFigures.size()), b(kFigures.size());
    nlohmann::json one = {{"file", scenario}, {"days", nlohmann::json::array()}};
    for (uint64_t seed = builds.first_seed; seed <= builds.last_seed; ++seed) {
      auto play = [&](const std::string& build) {
        std::vector<std::string> arguments = {"run", scenario, "--seeds", std::to_string(seed), "--json"};
        for (const std::string& setting : builds.settings)
          arguments.insert(arguments.end(), {"--set", setting});
        if (builds.real) arguments.insert(arguments.end(), {"--real", "--gateway", build + "/lemonchute"});
        return nlohmann::json::parse(
            Capture(builds.real ? builds.lab : build + "/lemonchute-lab", arguments));
      };
      bool a_first = (seed - builds.first_seed) % 2 == 0;
      nlohmann::json first = play(a_first ? builds.a : builds.b),
                     second = play(a_first ? builds.b : builds.a);
      const nlohmann::json& of_a = a_first ? first : second;
      const nlohmann::json& of_b = a_first ? second : first;
      one["scenario"] = of_a["scenario"];
      one["days"].push_back({{"seed", seed}, {"a", of_a["g"]}, {"b", of_b["g"]}});
      for (size_t i = 0; i < kFigures.size(); ++i) {
        nlohmann::json::json_pointer at(kFigures[i].second);
        a[i].push_back(of_a.value(at, 0.0)), b[i].push_back(of_b.value(at, 0.0));
      }
      if (builds.progress) builds.progress(static_cast<double>(++done) / static_cast<double>(days));
    }
    for (size_t i = 0; i < kFigures.size(); ++i) {
      std::vector<double> differences;
      for (size_t j = 0; j < a[i].size(); ++j) differences.push_back(b[i][j] - a[i][j]);
      Interval interval = Bootstrap(differences);
      one["figures"][kFigures[i].first] = {
          {"a", Mean(a[i])},     {"b", Mean(b[i])},       {"difference", interval.mean},
          {"low", interval.low}, {"high", interval.high}, {"tells", interval.Tells()}};
    }
    result["scenarios"].push_back(one);
  }
  return result;
}

}  // namespace lemonchute::lab
