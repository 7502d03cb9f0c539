// Days share nothing, so threads take them from one list; results keep the list's order.
#include "experiment/runner.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <thread>

#include "experiment/recovery.h"
#include "play/virtual/virtual_day.h"

namespace lemonchute::lab {

void Hold(const Expectations& expect, nlohmann::json* report) {
  nlohmann::json all = nlohmann::json::array();
  bool held = true;
  auto add = [&](const std::string& name, double wanted, double found, bool holds) {
    all.push_back({{"name", name}, {"wanted", wanted}, {"found", found}, {"held", holds}});
    held &= holds;
  };
  if (expect.rules_kept) add("rules kept", 0, (*report)["broken"].get<double>(), (*report)["broken"] == 0);
  if (expect.g_at_least)
    add("g_at_least", *expect.g_at_least, (*report)["g"].get<double>(),
        (*report)["g"].get<double>() >= *expect.g_at_least);
  if (expect.served_at_least)
    add("served_at_least", *expect.served_at_least, (*report)["served"].get<double>(),
        (*report)["served"].get<double>() >= *expect.served_at_least);
  if (expect.told_at_most) {
    double told = (*report)["told_over_sent"].get<double>();
    add("told_at_most", *expect.told_at_most, told, told <= *expect.told_at_most);
  }
  if (expect.recover_s_at_most && report->contains("troubles")) {
    double worst = 0;
    for (const nlohmann::json& trouble : (*report)["troubles"]) {
      double took = trouble.value("recover_s", 0.0);
      worst = took < 0 ? 1e9 : std::max(worst, took);  // never, within the day
    }
    add("recover_s_at_most", *expect.recover_s_at_most, worst, worst <= *expect.recover_s_at_most);
  }
  (*report)["expectations"] = all;
  (*report)["held"] = held;
}

namespace {

// The same day without its troubles is always played in virtual time: on sockets it would take as long again.
void Beside(const RunSpec& day, nlohmann::json* report) {
  if (day.disturbances.empty()) return;
  Recover(PlayVirtual(WithoutTroubles(day)), report);
}

void KeepHistory(const Batch& batch, const History& history) {
  if (batch.history.empty()) return;
  std::ofstream out(batch.history, std::ios::binary);
  out << history.ToJsonLines();
  if (!out.flush()) throw CannotPlay("cannot write " + batch.history);
}

}  // namespace

std::vector<nlohmann::json> Play(const Batch& batch) {
  struct Task {
    const Scenario* scenario;
    uint64_t seed;
  };
  std::vector<Task> tasks;
  for (const Scenario& scenario : batch.scenarios) {
    for (uint64_t seed = batch.first_seed; seed <= batch.last_seed; ++seed)
      tasks.push_back({&scenario, seed});
  }
  std::vector<nlohmann::json> reports(tasks.size());
  if (batch.way != Way::kVirtual) {
    for (size_t i = 0; i < tasks.size(); ++i) {
      RealOptions options = batch.real;
      options.null_run = batch.way == Way::kNull;
      if (!options.folder.empty() && tasks.size() > 1)
        options.folder += "/" + tasks[i].scenario->name + "-" + std::to_string(tasks[i].seed);
      RunSpec day = DrawRunSpec(*tasks[i].scenario, tasks[i].seed);
      History history;
      if (batch.with_history) options.history = &history;
      reports[i] = PlayReal(day, options);
      Beside(day, &reports[i]);
      KeepHistory(batch, history);
      Hold(tasks[i].scenario->expect, &reports[i]);
      if (batch.progress) batch.progress(static_cast<double>(i + 1) / static_cast<double>(tasks.size()));
      if (reports[i].value("stopped", false)) {
        reports.resize(i + 1);
        break;
      }
    }
    return reports;
  }
  std::vector<std::atomic<int>> done(tasks.size());
  std::atomic<size_t> next{0}, finished{0};
  std::mutex mutex;
  std::exception_ptr failure;
  auto work = [&] {
    for (size_t i = next++; i < tasks.size(); i = next++) {
      try {
        RunSpec day = DrawRunSpec(*tasks[i].scenario, tasks[i].seed);
        History history;
        reports[i] = PlayVirtual(day, &done[i], batch.with_history ? &history : nullptr);
        Beside(day, &reports[i]);
        if (i + 1 == tasks.size()) KeepHistory(batch, history);
        Hold(tasks[i].scenario->expect, &reports[i]);
      } catch (...) {
        std::lock_guard lock(mutex);
        failure = std::current_exception();
      }
      done[i] = 1000;
      ++finished;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, batch.jobs); ++i) threads.emplace_back(work);
  while (finished < tasks.size()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    double sum = 0;
    for (auto& d : done) sum += d;
    if (batch.progress) batch.progress(sum / (1000.0 * static_cast<double>(tasks.size())));
  }
  for (std::thread& thread : threads) thread.join();
  if (failure) std::rethrow_exception(failure);
  return reports;
}

}  // namespace lemonchute::lab
