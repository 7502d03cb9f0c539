// Processor sharing with a progress clock: every running job has the same rate, so one sum tells them all,
// and the next end is the smallest mark. A cold backend's rate changes all the time; it is taken anew every
// 50 ms.
#include "model/backend.h"

#include <algorithm>

namespace lemonchute::lab {
namespace {

constexpr Micros kColdStep = 50'000;  // a hundredth of the shortest warming, and of a tip's span a thirtieth
constexpr uint64_t kHandshakeBit = uint64_t{1} << 63;  // ids of work that is nobody's
constexpr double kDone = 1e-9;                         // seconds of work: below a microsecond of time

}  // namespace

double Backend::Warmth(Micros now) const {
  if (now >= warm_at_) return 1;
  double along = static_cast<double>(now - started_) / static_cast<double>(warm_at_ - started_);
  return day_->cold_share + (1 - day_->cold_share) * along;
}

double Backend::Capacity(Micros now) const {
  double crowded = static_cast<double>(request_count()) / (b_.cores * day_->crowding_at);
  double efficiency = crowded > 1 ? std::max(0.05, 1 - day_->crowding_loss * (crowded - 1)) : 1;
  return b_.cores * b_.speed * Warmth(now) * efficiency / slow_;
}

double Backend::PerJob(Micros now) const {
  return running_.empty() ? 0
                          : Capacity(now) / std::max<double>(b_.cores, static_cast<double>(running_.size()));
}

double Backend::ExpectedSeconds(Micros now, double work_s) const {
  if (!up_) return 1e3;
  double capacity = std::max(1e-9, Capacity(now));
  auto running = static_cast<double>(running_.size()), slots = static_cast<double>(b_.slots);
  double sharing = std::max(1.0, std::min(running + 1, slots) / b_.cores);
  // With no slot free, what waits goes first, and then half of a job of the same size.
  double ahead = running < slots ? 0 : waiting_work_ + work_s / 2;
  return ahead / capacity + work_s * sharing * b_.cores / capacity;
}

void Backend::Advance(Micros now, std::vector<Completion>* ends) {
  while (at_ < now) {
    double rate = PerJob(at_);
    Micros step = now;
    if (!running_.empty() && rate > 0) {
      double left = std::max(0.0, running_.begin()->first - progress_) / rate;
      if (left < 1e9)
        step = std::min(step, at_ + std::max<Micros>(1, static_cast<Micros>(std::ceil(left * 1e6))));
    }
    if (at_ < warm_at_) step = std::min(step, at_ + kColdStep);
    progress_ += rate * ToSeconds(step - at_);
    at_ = step;
    while (!running_.empty() && running_.begin()->first <= progress_ + kDone) {
      uint64_t id = running_.begin()->second;
      running_.erase(running_.begin());
      if ((id & kHandshakeBit) == 0) {
        auto job = jobs_.find(id);
        ends->push_back({id, false, job->second.second});
        jobs_.erase(job);
      }
    }
    FillSlots();
    if (day_->drops_overdue) {
      for (auto job = waiting_.begin(); job != waiting_.end();) {
        if (job->deadline > at_) {
          ++job;
          continue;
        }
        ends->push_back({job->id, true, 0});
        waiting_work_ -= job->work_s;
        job = waiting_.erase(job);
      }
    }
  }
}

Micros Backend::NextEventAt() const {
  if (running_.empty()) return kNever;  // nothing runs, so nothing waits
  double rate = PerJob(at_);
  if (rate <= 0) return kNever;
  Micros next =
      at_ +
      std::max<Micros>(
          1, static_cast<Micros>(std::ceil(std::max(0.0, running_.begin()->first - progress_) / rate * 1e6)));
  if (at_ < warm_at_) next = std::min(next, at_ + kColdStep);
  if (day_->drops_overdue && !waiting_.empty()) {
    for (const Job& job : waiting_) next = std::min(next, std::max(at_ + 1, job.deadline));
  }
  return next;
}

void Backend::FillSlots() {
  while (!waiting_.empty() && static_cast<int>(jobs_.size()) < b_.slots) {
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
  at_ = started_ = now;
  warm_at_ = cold ? now + FromSeconds(day_->cold_s) : now;
  pushed_.clear();
  pushed_work_ = pushed_told_ = 0;
}

void Backend::Stop() {
  up_ = false;
  running_.clear(), jobs_.clear(), waiting_.clear();
  waiting_work_ = 0;
}

Backend::Admission Backend::Offer(Micros now, const Job& job) {
  at_ = std::max(at_, now);
  if (!up_) return Admission::kDown;
  bool full = static_cast<int>(jobs_.size()) >= b_.slots && static_cast<int>(waiting_.size()) >= b_.queue;
  if (full || leaving_) return Admission::kFull;
  waiting_.push_back(job);
  waiting_work_ += job.work_s;
  FillSlots();
  return Admission::kAccepted;
}

double Backend::Cancel(Micros now, uint64_t id) {
  at_ = std::max(at_, now);
  if (auto job = jobs_.find(id); job != jobs_.end()) {
    if (!day_->cancel_running) return 0;
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
  at_ = std::max(at_, now);
  if (up_ && day_->handshake_work_s > 0)
    running_.insert({progress_ + day_->handshake_work_s, kHandshakeBit | ++handshakes_});
}

std::optional<Backend::Tip> Backend::RecordColdLoad(Micros now, double work_s, bool told) {
  if (!IsCold(now)) return std::nullopt;
  pushed_.push_back({now, work_s, told});
  pushed_work_ += work_s, pushed_told_ += told ? work_s : 0;
  while (pushed_.front().at < now - FromSeconds(day_->tip_s)) {
    pushed_work_ -= pushed_.front().work, pushed_told_ -= pushed_.front().told ? pushed_.front().work : 0;
    pushed_.pop_front();
  }
  double bears = day_->tip_multiple * b_.cores * b_.speed * Warmth(now) * day_->tip_s + day_->tip_slack_s;
  if (pushed_work_ <= bears) return std::nullopt;
  Stop();
  return Tip{pushed_work_, bears, pushed_told_ / pushed_work_, ToSeconds(now - started_)};
}

void Backend::SetSlowdown(Micros now, double times) {
  at_ = std::max(at_, now);
  slow_ = std::max(1.0, times);
}

}  // namespace lemonchute::lab
