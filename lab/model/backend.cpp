// Processor sharing with a progress clock: every running job progresses at the same rate, so a single sum
// serves them all, and the next job to end is the one with the lowest end progress. While a backend warms up
// its rate changes continuously; it is recomputed every 50 ms.
#include "model/backend.h"

#include <algorithm>

namespace lemonchute::lab {
namespace {

// At the defaults about 1/150 of the shortest warm-up (7.4 s) and 1/30 of the tipping window (1.5 s).
constexpr Micros kWarmUpStep = 50'000;
// Marks ids of work that belongs to no job.
constexpr uint64_t kHandshakeBit = uint64_t{1} << 63;
// Seconds of work; less than a microsecond of run time.
constexpr double kWorkEpsilon = 1e-9;

}  // namespace

double Backend::Warmth(Micros now) const {
  if (now >= warm_at_) return 1;
  double progress = static_cast<double>(now - started_) / static_cast<double>(warm_at_ - started_);
  return spec_->cold_share + (1 - spec_->cold_share) * progress;
}

double Backend::Capacity(Micros now) const {
  double crowded = static_cast<double>(request_count()) / (backend_.cores * spec_->crowding_at);
  double efficiency = crowded > 1 ? std::max(0.05, 1 - spec_->crowding_loss * (crowded - 1)) : 1;
  return backend_.cores * backend_.speed * Warmth(now) * efficiency / slowdown_;
}

double Backend::RatePerJob(Micros now) const {
  return running_.empty()
             ? 0
             : Capacity(now) / std::max<double>(backend_.cores, static_cast<double>(running_.size()));
}

double Backend::ExpectedSeconds(Micros now, double work_s) const {
  if (!up_) return 1e3;
  double capacity = std::max(1e-9, Capacity(now));
  auto running = static_cast<double>(running_.size()), slots = static_cast<double>(backend_.slots);
  double sharing = std::max(1.0, std::min(running + 1, slots) / backend_.cores);
  // With no slot free, queued work goes first, then half of a job of the same size.
  double ahead = running < slots ? 0 : waiting_work_ + work_s / 2;
  return ahead / capacity + work_s * sharing * backend_.cores / capacity;
}

void Backend::Advance(Micros now, std::vector<Completion>* completions) {
  while (updated_at_ < now) {
    double rate = RatePerJob(updated_at_);
    Micros step = now;
    if (!running_.empty() && rate > 0) {
      double left = std::max(0.0, running_.begin()->first - progress_) / rate;
      if (left < 1e9)
        step = std::min(step, updated_at_ + std::max<Micros>(1, static_cast<Micros>(std::ceil(left * 1e6))));
    }
    if (updated_at_ < warm_at_) step = std::min(step, updated_at_ + kWarmUpStep);
    progress_ += rate * ToSeconds(step - updated_at_);
    updated_at_ = step;
    while (!running_.empty() && running_.begin()->first <= progress_ + kWorkEpsilon) {
      uint64_t id = running_.begin()->second;
      running_.erase(running_.begin());
      if ((id & kHandshakeBit) == 0) {
        auto job = jobs_.find(id);
        completions->push_back({id, false, job->second.second});
        jobs_.erase(job);
      }
    }
    FillSlots();
    if (spec_->drops_overdue) {
      for (auto job = waiting_.begin(); job != waiting_.end();) {
        if (job->deadline > updated_at_) {
          ++job;
          continue;
        }
        completions->push_back({job->id, true, 0});
        waiting_work_ -= job->work_s;
        job = waiting_.erase(job);
      }
    }
  }
}

Micros Backend::NextEventAt() const {
  if (running_.empty()) return kNever;  // nothing runs, so nothing is queued
  double rate = RatePerJob(updated_at_);
  if (rate <= 0) return kNever;
  Micros next =
      updated_at_ +
      std::max<Micros>(
          1, static_cast<Micros>(std::ceil(std::max(0.0, running_.begin()->first - progress_) / rate * 1e6)));
  if (updated_at_ < warm_at_) next = std::min(next, updated_at_ + kWarmUpStep);
  if (spec_->drops_overdue && !waiting_.empty()) {
    for (const Job& job : waiting_) next = std::min(next, std::max(updated_at_ + 1, job.deadline));
  }
  return next;
}

void Backend::FillSlots() {
  while (!waiting_.empty() && static_cast<int>(jobs_.size()) < backend_.slots) {
    Job job = waiting_.front();
    waiting_.pop_front();
    waiting_work_ -= job.work_s;
    running_.insert({progress_ + job.work_s, job.id});
    jobs_[job.id] = {progress_ + job.work_s, job.work_s};
  }
}

void Backend::Start(Micros now, bool cold) {
  Stop();
  up_ = true, leaving_ = false;
  updated_at_ = started_ = now;
  warm_at_ = cold ? now + FromSeconds(spec_->cold_s) : now;
  recent_work_.clear();
  recent_work_s_ = recent_informed_work_s_ = 0;
}

void Backend::Stop() {
  up_ = false;
  running_.clear(), jobs_.clear(), waiting_.clear();
  waiting_work_ = 0;
}

Backend::Admission Backend::Offer(Micros now, const Job& job) {
  updated_at_ = std::max(updated_at_, now);
  if (!up_) return Admission::kDown;
  bool full =
      static_cast<int>(jobs_.size()) >= backend_.slots && static_cast<int>(waiting_.size()) >= backend_.queue;
  if (full || leaving_) return Admission::kFull;
  waiting_.push_back(job);
  waiting_work_ += job.work_s;
  FillSlots();
  return Admission::kAccepted;
}

double Backend::Cancel(Micros now, uint64_t id) {
  updated_at_ = std::max(updated_at_, now);
  if (auto job = jobs_.find(id); job != jobs_.end()) {
    if (!spec_->cancel_running) return 0;
    double done = std::max(0.0, job->second.second - (job->second.first - progress_));
    running_.erase({job->second.first, id});
    jobs_.erase(job);
    FillSlots();
    return done;
  }
  auto job = std::find_if(waiting_.begin(), waiting_.end(), [&](const Job& j) { return j.id == id; });
  if (job == waiting_.end()) return 0;
  waiting_work_ -= job->work_s;
  waiting_.erase(job);
  return 0;
}

void Backend::Handshake(Micros now) {
  updated_at_ = std::max(updated_at_, now);
  if (up_ && spec_->handshake_work_s > 0)
    running_.insert({progress_ + spec_->handshake_work_s, kHandshakeBit | ++handshake_count_});
}

std::optional<Backend::Tip> Backend::RecordColdLoad(Micros now, double work_s, bool informed) {
  if (!IsCold(now)) return std::nullopt;
  recent_work_.push_back({now, work_s, informed});
  recent_work_s_ += work_s, recent_informed_work_s_ += informed ? work_s : 0;
  while (recent_work_.front().at < now - FromSeconds(spec_->tip_s)) {
    recent_work_s_ -= recent_work_.front().work,
        recent_informed_work_s_ -= recent_work_.front().informed ? recent_work_.front().work : 0;
    recent_work_.pop_front();
  }
  double limit =
      spec_->tip_multiple * backend_.cores * backend_.speed * Warmth(now) * spec_->tip_s + spec_->tip_slack_s;
  if (recent_work_s_ <= limit) return std::nullopt;
  Stop();
  return Tip{recent_work_s_, limit, recent_informed_work_s_ / recent_work_s_, ToSeconds(now - started_)};
}

void Backend::SetSlowdown(Micros now, double times) {
  updated_at_ = std::max(updated_at_, now);
  slowdown_ = std::max(1.0, times);
}

}  // namespace lemonchute::lab
