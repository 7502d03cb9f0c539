#include "net/members.h"

#include <unistd.h>

#include <boost/crc.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "net/backend_pool.h"
#include "net/text.h"

namespace lemonchute::net {
namespace {

using membership::Micros;
using membership::State;
using nlohmann::json;

// A fraction of a probe's period, so that no member misses this one while the peer process releases the
// address.
constexpr double kBindRetryPeriodS = 0.1;
// Read in one turn of the event loop; at the rate limit these arrive in one second.
constexpr int kMaxDatagramsPerTurn = 64;
constexpr double kLogLinesPerS = 10, kMaxLogBurst = 30;  // of changes
constexpr double kViewLogPeriodS = 0.25;
constexpr size_t kMaxPageMembers = 1000;  // members in a response

Micros Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const char* StateName(State state) {
  constexpr const char* kWords[] = {"alive", "suspect", "dead", "left"};
  return kWords[static_cast<size_t>(state)];
}

std::string Hex(uint64_t value, int digits) {
  char text[17];
  std::snprintf(text, sizeof(text), "%0*llx", digits, static_cast<unsigned long long>(value));
  return text;
}

// CRC-32 of the program's file, as `crc32` and gzip compute it. Distinguishes versions without a version
// number.
uint32_t ProgramId() {
  static const uint32_t id = [] {
    std::ifstream file("/proc/self/exe", std::ios::binary);
    boost::crc_32_type sum;
    std::array<char, 65536> part;
    while (file.read(part.data(), part.size()), file.gcount() > 0)
      sum.process_bytes(part.data(), static_cast<size_t>(file.gcount()));
    return sum.checksum();
  }();
  return id;
}

uint64_t AddressKey(const asio::ip::udp::endpoint& at) {
  return (static_cast<uint64_t>(at.address().to_v4().to_uint()) << 16) | at.port();
}

double WholeMillisecondsAsSeconds(Micros micros) { return static_cast<double>(micros / 1000) / 1000; }

// Programs and configurations of the present members, and how many run each; more than one entry means that
// the fleet disagrees.
json ListRuns(const membership::View& view) {
  std::map<std::pair<uint32_t, uint32_t>, size_t> runs;  // by program and configuration
  for (size_t number = 0; number < view.size(); ++number) {
    const membership::Entry& entry = view.At(number);
    if (entry.state <= State::kSuspect && entry.incarnation > 0)
      ++runs[{entry.about.program, entry.about.config}];
  }
  json list = json::array();
  for (const auto& [about, count] : runs) {
    if (list.size() == kMaxPageMembers) break;
    list.push_back({{"program", Hex(about.first, 8)}, {"config", Hex(about.second, 8)}, {"members", count}});
  }
  return list;
}

}  // namespace

Members::Members(asio::io_context& io)
    : socket_(io), tick_timer_(io), bind_retry_timer_(io), view_log_timer_(io), log_budget_(kMaxLogBurst) {}

void Members::Follow(const Config& config) noexcept {
  const std::optional<PeerConfig>& next = config.membership;
  if (handed_over_) return;
  if (!next) {
    if (membership_) AnnounceLeave();  // leaves the fleet, not the service: switched on again it returns
    StopSpeaking();
    config_.reset();
    return;
  }
  bool restart = !config_ || config_->self != next->self || config_->listen != next->listen ||
                 config_->in_per_s != next->in_per_s || config_->share != next->share;
  if (restart) StopSpeaking();
  config_ = next;
  ProgramId();  // computed here, since there is no time for it while an address is handed over
  members_by_address_.clear();
  for (size_t i = 0; i < config_->peers.size(); ++i)
    members_by_address_[AddressKey(config_->peers[i])] = static_cast<uint16_t>(i);
  if (restart) return Bind();
  if (!membership_) return;
  membership_->Resize(Now(), config_->peers.size());
  membership_->Tell(Now(), {ProgramId(), config_->config});
  LogView();
}

void Members::StopSpeaking() {
  membership_.reset();
  error_code ignored;
  socket_.close(ignored);
  for (asio::steady_timer* timer : {&tick_timer_, &bind_retry_timer_, &view_log_timer_}) timer->cancel();
}

void Members::Bind() {
  error_code error;
  socket_.open(udp::v4(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.bind(config_->listen, error);
  if (!error) return StartSpeaking();
  error_code ignored;
  socket_.close(ignored);
  if (!bind_failure_logged_) {
    bind_failure_logged_ = true;
    std::fprintf(
        stderr, "members: %s can't be had, another process speaks there: %s\n",
        (config_->listen.address().to_string() + ":" + std::to_string(config_->listen.port())).c_str(),
        error.message().c_str());
  }
  bind_retry_timer_.expires_after(Seconds(kBindRetryPeriodS));
  bind_retry_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && config_ && !membership_ && !handed_over_) Bind();
  });
}

void Members::StartSpeaking() {
  bind_failure_logged_ = false;
  membership::Settings settings;
  settings.self = config_->self, settings.members = config_->peers.size();
  // A seed of its own for each start, so that members that start at once probe in different orders.
  settings.seed = static_cast<uint64_t>(Now()) * 0x9e3779b97f4a7c15ULL + static_cast<uint64_t>(getpid());
  settings.about = {ProgramId(), config_->config};
  settings.in_per_s = config_->in_per_s, settings.share = config_->share;
  membership_.emplace(settings, Now());
  error_code ignored;
  udp::endpoint local = socket_.local_endpoint(ignored);
  std::fprintf(stderr, "members: number %d of %zu speaks at %s:%d\n", config_->self, config_->peers.size(),
               local.address().to_string().c_str(), local.port());
  if (left_fleet_) AnnounceLeave();
  Read();
  ArmTick();
}

void Members::Read() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error || !membership_) return;
    for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
      udp::endpoint sender;
      error_code failed;
      size_t bytes = socket_.receive_from(asio::buffer(datagram_), sender, 0, failed);
      if (failed == asio::error::would_block) break;
      if (failed) {  // of an earlier send, such as to a closed port
        ++receive_failures_;
        continue;
      }
      membership::Actions actions;
      membership_->Heard(Now(), MemberAt(sender), {datagram_.data(), bytes}, &actions);
      Execute(actions);
    }
    Read();
    ArmTick();
  });
}

int Members::MemberAt(const udp::endpoint& at) const {
  auto found = at.address().is_v4() ? members_by_address_.find(AddressKey(at)) : members_by_address_.end();
  return found == members_by_address_.end() ? -1 : found->second;
}

void Members::ArmTick() {
  tick_timer_.expires_at(asio::steady_timer::time_point(std::chrono::microseconds(membership_->NextAt())));
  tick_timer_.async_wait([this](error_code cancelled) {
    if (cancelled || !membership_) return;
    Tick();
    ArmTick();
  });
}

void Members::Tick() {
  membership::Actions actions;
  membership_->Tick(Now(), &actions);
  Execute(actions);
}

void Members::Execute(membership::Actions& actions) {
  for (const membership::Datagram& datagram : actions.send) {
    error_code failed;
    socket_.send_to(asio::buffer(datagram.bytes), config_->peers[datagram.to], 0, failed);
    send_failed_ += failed ? 1 : 0;
  }
  for (const membership::Change& change : actions.changes) {
    deaths_ += change.is == State::kDead ? 1 : 0;
    LogChange(change);
  }
  LogView();
}

// One line per change, at a limited rate. The next line is preceded by the number of those left out.
void Members::LogChange(const membership::Change& change) {
  Micros now = Now();
  log_budget_ =
      std::min(kMaxLogBurst, log_budget_ + kLogLinesPerS * 1e-6 * static_cast<double>(now - log_budget_at_));
  log_budget_at_ = now;
  if (log_budget_ < 1) {
    ++unlogged_changes_;
    return;
  }
  log_budget_ -= 1;
  if (unlogged_changes_ > 0)
    std::fprintf(stderr, "members: %llu more changes\n",
                 static_cast<unsigned long long>(std::exchange(unlogged_changes_, 0)));
  std::fprintf(stderr, "members: %d is %s, was %s: by %d, incarnation %u\n", change.member,
               StateName(change.is), StateName(change.was), change.by, change.incarnation);
}

// The digest of the view, in the form of docs/LAB.md. Intermediate digests may be left out, the last one is
// always logged.
void Members::LogView() {
  if (!membership_ || logged_view_ == membership_->view().digest()) return;
  if (view_log_timer_.expiry() > asio::steady_timer::clock_type::now())
    return;  // logged when the timer expires
  logged_view_ = membership_->view().digest();
  std::fprintf(stderr, "fleet at_us=%lld pid=%d what=view subject=%s\n", static_cast<long long>(Now()),
               getpid(), Hex(*logged_view_, 16).c_str());
  view_log_timer_.expires_after(Seconds(kViewLogPeriodS));
  view_log_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) LogView();
  });
}

void Members::Leave(bool to_peer_process) {
  left_fleet_ = true;
  if (!membership_) {
    handed_over_ = handed_over_ || to_peer_process;
    return;
  }
  if (to_peer_process) {
    handed_over_ = true;
    std::fprintf(stderr, "members: the other process speaks from now on\n");
    std::fprintf(stderr, "fleet at_us=%lld pid=%d what=view subject=none\n", static_cast<long long>(Now()),
                 getpid());
    return StopSpeaking();
  }
  AnnounceLeave();
}

void Members::AnnounceLeave() {
  membership::Actions actions;
  membership_->Leave(Now(), &actions);
  Execute(actions);
  LogView();
}

void Members::Return() {
  left_fleet_ = false;
  if (!membership_) return;
  membership_->Return(Now());
  LogView();
}

void Members::AppendMetrics(const std::function<void(const std::string& name, uint64_t value)>& line) const {
  if (!config_) return;
  line("members_speaks", membership_ ? 1 : 0);
  if (!membership_) return;
  const membership::View& view = membership_->view();
  for (State state : {State::kAlive, State::kSuspect, State::kDead, State::kLeft})
    line(std::string("members_") + StateName(state), view.Count(state));
  membership::Reading reading = membership_->Read(Now());
  line("members_verdict", static_cast<uint64_t>(reading.verdict));
  line("members_agree_permille", static_cast<uint64_t>(1000 * reading.agreement));
  line("members_health", static_cast<uint64_t>(membership_->health()));
  const membership::Counts& counts = membership_->counts();
  for (auto [name, value] : {std::pair{"sent", counts.sent},
                             {"heard", counts.heard},
                             {"probes", counts.probes},
                             {"indirect", counts.indirect},
                             {"failed", counts.failed},
                             {"refuted", counts.refuted},
                             {"repairs", counts.repairs},
                             {"held_up", counts.held_up},
                             {"paced", counts.paced},
                             {"dropped_stranger", counts.strangers},
                             {"dropped_misnumbered", counts.misnumbered},
                             {"dropped_flood", counts.flooded},
                             {"dropped_claimed", counts.claimed},
                             {"words_beyond", counts.beyond},
                             {"deaths", deaths_},
                             {"send_failed", send_failed_},
                             {"receive_failed", receive_failures_}})
    line(std::string("members_") + name, value);
  for (size_t i = 1; i < counts.bad.size(); ++i)
    line(std::string("members_dropped_") + Name(static_cast<membership::Fault>(i)), counts.bad[i]);
}

std::optional<AdminResponse> Members::OnCall(const AdminRequest& call) const {
  constexpr std::string_view kPath = "/control/members";
  std::string_view target = call.path, path = target.substr(0, target.find('?'));
  if (path != kPath) return std::nullopt;
  if (call.method != "GET") return AdminResponse{405, "use GET\n"};
  std::string_view query = path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view();
  size_t from = 0, most = kMaxPageMembers;
  for (auto [name, value] : {std::pair{"from", &from}, std::pair{"most", &most}}) {
    auto text = FindValue(query, '&', name);
    if (text && !ParseNumber(*text, value))
      return AdminResponse{400, std::string(name) + " must be a whole number\n"};
  }
  return AdminResponse{200, List(from, std::min(most, kMaxPageMembers)), "application/json"};
}

std::string Members::List(size_t from, size_t most) const {
  json out = {{"on", config_.has_value()}, {"speaks", membership_.has_value()}};
  if (!membership_) return out.dump(1) + "\n";
  Micros now = Now();
  const membership::View& view = membership_->view();
  membership::Reading reading = membership_->Read(now);
  out["self"] = config_->self;
  out["verdict"] = Name(reading.verdict);
  out["usable"] = reading.Usable();
  out["agreement"] = reading.agreement;
  out["heard_s"] = WholeMillisecondsAsSeconds(reading.age);
  out["health"] = membership_->health();
  out["digest"] = Hex(view.digest(), 16);
  for (State state : {State::kAlive, State::kSuspect, State::kDead, State::kLeft})
    out["states"][StateName(state)] = view.Count(state);
  out["runs"] = ListRuns(view);
  out["members"] = json::array();
  for (size_t number = from; number < view.size() && out["members"].size() < most; ++number)
    out["members"].push_back(MemberToJson(number, now));
  if (size_t next = from + out["members"].size(); next < view.size()) out["next"] = next;
  return out.dump(1) + "\n";
}

json Members::MemberToJson(size_t number, Micros now) const {
  const membership::Entry& entry = membership_->view().At(number);
  json member = {{"number", number},
                 {"state", StateName(entry.state)},
                 {"incarnation", entry.incarnation},
                 {"by", entry.by},
                 {"since_s", WholeMillisecondsAsSeconds(now - entry.since)}};
  if (entry.incarnation > 0) {
    member["program"] = Hex(entry.about.program, 8);
    member["config"] = Hex(entry.about.config, 8);
  }
  if (number != config_->self && membership_->HeardAt(number) >= 0)
    member["heard_s"] = WholeMillisecondsAsSeconds(now - membership_->HeardAt(number));
  return member;
}

}  // namespace lemonchute::net
