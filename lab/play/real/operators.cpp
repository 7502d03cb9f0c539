// The bounds are LATER's, as are the names of the calls and of the figures.
#include "play/real/operators.h"

#include <sstream>

#include "model/settings.h"

namespace lemonchute::lab {
namespace {

constexpr Micros kDue = kSecond;          // an answer is due
constexpr Micros kDrained = 4 * kSecond;  // after which a drained gateway's yes breaks the rule
constexpr Micros kBack = 2 * kSecond;     // a yes is due again after a drain's end
// Descriptors that a gateway may hold beside its connections to clients and backends: 32 to the counter, 12
// of the operators' door, discovery's, and a dozen for the loop, its sockets that listen, files and standard
// streams.
constexpr size_t kOwnDescriptors = 60;

}  // namespace

Operators::Operators(World& world, Fleet& fleet, AdminClient& admin_client,
                     std::function<size_t(int)> connections)
    : world_(world),
      fleet_(fleet),
      admin_client_(admin_client),
      connections_(std::move(connections)),
      drains_(static_cast<size_t>(world.day.gateways), 0) {}

void Operators::Call(int gateway, const std::string& method, const std::string& path,
                     AdminClient::Done done) {
  ++calls_;
  admin_client_.Call(
      gateway, fleet_.OpsOf(gateway), method, path,
      [this, gateway, done = std::move(done)](const HttpConnection::Answer& answer, Micros took) {
        if (fleet_.WholeDay(gateway)) {  // a door that was there all day owes an answer
          worst_ = std::max(worst_, took);
          late_ += took > kDue ? 1 : 0;
          wrong_ += answer.status / 100 != 2 ? 1 : 0;
        }
        if (done) done(answer, took);
      });
}

void Operators::Offline(int backend, bool offline) {
  world_.judge.OnBackendOffline(world_.Now(), backend, offline);
  const std::string& name = world_.day.backends[static_cast<size_t>(backend)].name;
  for (int g = 0; g < world_.day.gateways; ++g) {
    Call(g, "PUT", "/control/backends/" + name + (offline ? "/offline" : "/online"));
  }
}

void Operators::Drain(int gateway, bool drain) {
  Call(gateway, "PUT", drain ? "/control/out-of-service" : "/control/in-service");
  uint64_t round = ++drains_[static_cast<size_t>(gateway)];
  world_.schedule.After(drain ? kDrained : kBack, [this, gateway, drain, round] {
    if (over_ || round != drains_[static_cast<size_t>(gateway)] || !fleet_.WholeDay(gateway)) return;
    if (fleet_.Ready(gateway) != drain) return;
    world_.judge.AddViolation("drain of a gateway", world_.Now(), UINT32_MAX,
                              GatewayName(gateway) + (drain ? " says yes 4 s after it was drained"
                                                            : " says no 2 s after its drain's end"));
  });
}

void Operators::Scrape(double times_a_second) {
  scrape_ = times_a_second;
  ++scrape_round_;
  if (scrape_ > 0) ScrapeOnce(scrape_round_);
}

void Operators::ScrapeOnce(uint64_t round) {
  if (round != scrape_round_ || over_) return;
  for (int g = 0; g < world_.day.gateways; ++g) Call(g, "GET", "/control/counters");
  world_.schedule.After(FromSeconds(1 / scrape_), [this, round] { ScrapeOnce(round); });
}

// Off by 3 or by 1%, attempts by 2%; requests whose client had gone may count anywhere.
void Operators::Check(int gateway, const std::string& figures) {
  std::map<std::string, double> told;
  std::istringstream lines(figures);
  for (std::string line; std::getline(lines, line);) {
    size_t equals = line.find('=');
    if (equals != std::string::npos)
      told[line.substr(0, equals)] = std::strtod(line.c_str() + equals + 1, nullptr);
  }
  auto compare = [&](const std::string& name, uint64_t low, uint64_t high, double slack) {
    ++checked_;
    auto from = static_cast<double>(low) - slack, to = static_cast<double>(high) + slack;
    auto says = told.find(name);
    if (says != told.end() && says->second >= from && says->second <= to) return;
    ++off_;
    world_.judge.AddViolation(
        "figures", world_.Now(), UINT32_MAX,
        GatewayName(gateway) + " says " +
            (says == told.end() ? "nothing" : std::to_string(static_cast<long>(says->second))) + " for " +
            name + ", peers saw " + std::to_string(low) + " to " + std::to_string(high));
  };
  auto bound = [](uint64_t most, double share) { return std::max(3.0, share * static_cast<double>(most)); };
  RunChecker::ClassTotals seen = world_.judge.TotalsOf(gateway);
  for (size_t c = 0; c < world_.day.classes.size(); ++c) {
    for (auto [name, counts] :
         {std::pair{"ok.", &seen.served}, {"shed.", &seen.refused}, {"errors.", &seen.failed}}) {
      uint64_t low = (*counts)[c], high = low + seen.gone[c];
      compare(name + world_.day.classes[c].name, low, high, bound(high, 0.01));
    }
  }
  uint64_t most = seen.attempts + world_.swallowed[static_cast<size_t>(gateway)];
  compare("tries", seen.attempts, most, bound(seen.attempts, 0.02));
  uint64_t files = fleet_.hups();
  compare("config_applied", files, files, 0);
}

void Operators::CheckDescriptors(int gateway) {
  size_t held = fleet_.Descriptors(gateway), explained = connections_(gateway) + kOwnDescriptors;
  ++checked_;
  if (held <= explained) return;
  ++off_;
  world_.judge.AddViolation("descriptors", world_.Now(), UINT32_MAX,
                            GatewayName(gateway) + " holds " + std::to_string(held) + " descriptors where " +
                                std::to_string(explained) + " are explained by connections");
}

void Operators::Compare(std::function<void()> done) {
  over_ = true;
  auto left = std::make_shared<int>(1);
  auto one = [left, done] {
    if (--*left == 0) done();
  };
  for (int g = 0; g < world_.day.gateways; ++g) {
    if (!fleet_.WholeDay(g)) continue;
    CheckDescriptors(g);
    ++*left;
    Call(g, "GET", "/control/counters", [this, g, one](const HttpConnection::Answer& answer, Micros) {
      Check(g, answer.status == 200 ? answer.body : "");
      one();
    });
  }
  one();
}

nlohmann::json Operators::Report() const {
  return {{"door",
           {{"calls", calls_},
            {"late", late_},
            {"wrong", wrong_},
            {"worst_ms", static_cast<double>(worst_) / 1000}}},
          {"figures", {{"checked", checked_}, {"off", off_}}}};
}

}  // namespace lemonchute::lab
