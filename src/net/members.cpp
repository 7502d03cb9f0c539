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

// A fraction of a probe's period, so that no member notices a gap while the peer process releases the
// address.
constexpr double kBindRetryPeriodS = 0.1;
// Datagrams read in one turn of the event loop; at the rate limit as many arrive in one second.
constexpr int kMaxDatagramsPerTurn = 64;
constexpr double kLogLinesPerS = 10, kMaxLogBurst = 30;  // of changes
constexpr double kViewLogPeriodS = 0.25;
constexpr size_t kMaxPageMembers = 1000;  // members in one response

Micros Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const char* StateName(State state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<size_t>(state)];
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
    std::array<char, 65536> chunk;
    while (file.read(chunk.data(), chunk.size()), file.gcount() > 0)
      sum.process_bytes(chunk.data(), static_cast<size_t>(file.gcount()));
    return sum.checksum();
  }();
  return id;
}

uint64_t AddressKey(const asio::ip::udp::endpoint& endpoint) {
  return (static_cast<uint64_t>(endpoint.address().to_v4().to_uint()) << 16) | endpoint.port();
}

double WholeMillisecondsAsSeconds(Micros micros) { return static_cast<double>(micros / 1000) / 1000; }

// Lists the programs and configurations of the members that are alive or suspect, and how many run each. More
// than one entry means that the fleet is not uniform.
json CountRuns(const membership::View& view) {
  std::map<std::pair<uint32_t, uint32_t>, size_t> runs;  // by program and configuration
  for (size_t number = 0; number < view.size(); ++number) {
    const membership::Entry& entry = view.At(number);
    if (entry.state <= State::kSuspect && entry.incarnation > 0)
      ++runs[{entry.version.program, entry.version.config}];
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

void Members::ApplyConfig(const Config& config) noexcept {
  const std::optional<PeerConfig>& next = config.membership;
  if (handed_over_) return;
  if (!next) {
    if (membership_) AnnounceLeave();  // `left_fleet_` stays unset, so that it rejoins when switched on again
    StopMembership();
    config_.reset();
    return;
  }
  bool restart = !config_ || config_->self != next->self || config_->listen != next->listen ||
                 config_->max_datagrams_per_s != next->max_datagrams_per_s ||
                 config_->membership_share != next->membership_share;
  if (restart) StopMembership();
  config_ = next;
  ProgramId();  // computed in advance, since a handover of the address leaves no time for it
  members_by_address_.clear();
  for (size_t i = 0; i < config_->peers.size(); ++i)
    members_by_address_[AddressKey(config_->peers[i])] = static_cast<uint16_t>(i);
  if (restart) return Bind();
  if (!membership_) return;
  membership_->Resize(Now(), config_->peers.size());
  membership_->SetVersion(Now(), {ProgramId(), config_->fleet_config_id});
  LogView();
}

void Members::StopMembership() {
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
  if (!error) return StartMembership();
  error_code ignored;
  socket_.close(ignored);
  if (!bind_failure_logged_) {
    bind_failure_logged_ = true;
    std::fprintf(
        stderr, "members: cannot bind %s, retrying until the other process releases it: %s\n",
        (config_->listen.address().to_string() + ":" + std::to_string(config_->listen.port())).c_str(),
        error.message().c_str());
  }
  bind_retry_timer_.expires_after(Seconds(kBindRetryPeriodS));
  bind_retry_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && config_ && !membership_ && !handed_over_) Bind();
  });
}

void Members::StartMembership() {
  bind_failure_logged_ = false;
  membership::Settings settings;
  settings.self = config_->self, settings.member_count = config_->peers.size();
  // A new seed for each start, so that members that start at the same time probe in different orders.
  settings.seed = static_cast<uint64_t>(Now()) * 0x9e3779b97f4a7c15ULL + static_cast<uint64_t>(getpid());
  settings.version = {ProgramId(), config_->fleet_config_id};
  settings.receive_limit_per_s = config_->max_datagrams_per_s,
  settings.rate_share = config_->membership_share;
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
      if (failed) {  // error of an earlier send, such as to a closed port
        ++receive_failures_;
        continue;
      }
      membership::Actions actions;
      membership_->OnDatagram(Now(), MemberAt(sender), {datagram_.data(), bytes}, &actions);
      Execute(actions);
    }
    Read();
    ArmTick();
  });
}

int Members::MemberAt(const udp::endpoint& endpoint) const {
  auto found =
      endpoint.address().is_v4() ? members_by_address_.find(AddressKey(endpoint)) : members_by_address_.end();
  return found == members_by_address_.end() ? -1 : found->second;
}

void Members::ArmTick() {
  tick_timer_.expires_at(
      asio::steady_timer::time_point(std::chrono::microseconds(membership_->NextTickAt())));
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
    deaths_ += change.current == State::kDead ? 1 : 0;
    LogChange(change);
  }
  LogView();
}

// Logs one line per change, at a limited rate. After a gap, the number of changes left out is logged first.
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
    std::fprintf(stderr, "members: %llu further changes were not logged\n",
                 static_cast<unsigned long long>(std::exchange(unlogged_changes_, 0)));
  std::fprintf(stderr, "members: %d is %s, was %s: by %d, incarnation %u\n", change.member,
               StateName(change.current), StateName(change.previous), change.reporter, change.incarnation);
}

// Logs the digest of the view in the format of docs/LAB.md. Intermediate digests may be skipped, the last one
// is always logged.
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
    std::fprintf(stderr, "members: address handed over to the other process\n");
    std::fprintf(stderr, "fleet at_us=%lld pid=%d what=view subject=none\n", static_cast<long long>(Now()),
                 getpid());
    return StopMembership();
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
  membership_->Rejoin(Now());
  LogView();
}

void Members::AppendMetrics(const std::function<void(const std::string& name, uint64_t value)>& line) const {
  if (!config_) return;
  line("members_speaks", membership_ ? 1 : 0);
  if (!membership_) return;
  const membership::View& view = membership_->view();
  for (State state : {State::kAlive, State::kSuspect, State::kDead, State::kLeft})
    line(std::string("members_") + StateName(state), view.Count(state));
  membership::FleetStatus reading = membership_->Status(Now());
  line("members_verdict", static_cast<uint64_t>(reading.verdict));
  line("members_agree_permille", static_cast<uint64_t>(1000 * reading.agreement));
  line("members_health", static_cast<uint64_t>(membership_->health()));
  const membership::Counts& counts = membership_->counts();
  for (auto [name, value] : {std::pair{"sent", counts.sent},
                             {"heard", counts.received},
                             {"probes", counts.probes},
                             {"indirect", counts.indirect_probes},
                             {"failed", counts.failed_probes},
                             {"refuted", counts.refutations},
                             {"repairs", counts.repairs},
                             {"held_up", counts.stalls},
                             {"paced", counts.rate_limited},
                             {"dropped_stranger", counts.unknown_senders},
                             {"dropped_misnumbered", counts.sender_mismatches},
                             {"dropped_flood", counts.over_sender_rate},
                             {"dropped_claimed", counts.impersonations},
                             {"words_beyond", counts.unknown_members},
                             {"deaths", deaths_},
                             {"send_failed", send_failed_},
                             {"receive_failed", receive_failures_}})
    line(std::string("members_") + name, value);
  for (size_t i = 1; i < counts.malformed.size(); ++i)
    line(std::string("members_dropped_") + Name(static_cast<membership::DecodeError>(i)),
         counts.malformed[i]);
}

std::optional<AdminResponse> Members::HandleAdminCall(const AdminRequest& call) const {
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
  return AdminResponse{200, RenderPage(from, std::min(most, kMaxPageMembers)), "application/json"};
}

std::string Members::RenderPage(size_t from, size_t max_members) const {
  json out = {{"on", config_.has_value()}, {"speaks", membership_.has_value()}};
  if (!membership_) return out.dump(1) + "\n";
  Micros now = Now();
  const membership::View& view = membership_->view();
  membership::FleetStatus reading = membership_->Status(now);
  out["self"] = config_->self;
  out["verdict"] = Name(reading.verdict);
  out["usable"] = reading.Usable();
  out["agreement"] = reading.agreement;
  out["heard_s"] = WholeMillisecondsAsSeconds(reading.since_received);
  out["health"] = membership_->health();
  out["digest"] = Hex(view.digest(), 16);
  for (State state : {State::kAlive, State::kSuspect, State::kDead, State::kLeft})
    out["states"][StateName(state)] = view.Count(state);
  out["runs"] = CountRuns(view);
  out["members"] = json::array();
  for (size_t number = from; number < view.size() && out["members"].size() < max_members; ++number)
    out["members"].push_back(MemberToJson(number, now));
  if (size_t next = from + out["members"].size(); next < view.size()) out["next"] = next;
  return out.dump(1) + "\n";
}

json Members::MemberToJson(size_t number, Micros now) const {
  const membership::Entry& entry = membership_->view().At(number);
  json member = {{"number", number},
                 {"state", StateName(entry.state)},
                 {"incarnation", entry.incarnation},
                 {"by", entry.reporter},
                 {"since_s", WholeMillisecondsAsSeconds(now - entry.since)}};
  if (entry.incarnation > 0) {
    member["program"] = Hex(entry.version.program, 8);
    member["config"] = Hex(entry.version.config, 8);
  }
  if (number != config_->self && membership_->LastReceivedAt(number) >= 0)
    member["heard_s"] = WholeMillisecondsAsSeconds(now - membership_->LastReceivedAt(number));
  return member;
}

}  // namespace lemonchute::net
