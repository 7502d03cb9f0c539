// A member of a made-up fleet, in place of the gateway: it answers the front, refuses every request, tells
// its peers that it lives, holds an even part of a budget for short terms, and keeps a number in its state
// folder. MEMBER_CUT names one thing that it does wrong.
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "play/real/http.h"
#include "play/real/schedule.h"

namespace {

using namespace lemonchute::lab;
using udp = asio::ip::udp;

constexpr Micros kBeat = 150'000, kHeard = 900'000, kTerm = 400'000;
constexpr double kWhole = 100;

class Member {
 public:
  explicit Member(const nlohmann::json& config)
      : schedule_(io_),
        number_(config["settings"]["me"]),
        of_(config["settings"]["peers-total"]),
        peers_(config["peers"]),
        kept_(config["extensions"]["member"]["state"].get<std::string>() + "/number"),
        cut_(std::getenv("MEMBER_CUT") == nullptr ? "" : std::getenv("MEMBER_CUT")),
        socket_(io_, At<udp>(config["peer_listen"])),
        server_(io_, At<tcp>(config["listen"]),
                {[] { return true; },
                 [](const HttpServer::PeerPtr& peer, const HttpRequest& request) {
                   bool ready = request.target().substr(0, 3) == "/-/";
                   peer->Reply(HttpAnswer(ready ? 200 : 503, "", ""));
                 },
                 [](uint64_t) {}}) {
    schedule_.Begin({});  // the monotonic clock itself
    heard_.assign(static_cast<size_t>(of_), -1);
    server_.Open();
    Remember();
    Read();
    Beat();
    Renew();
    Use();
    io_.run();
  }

 private:
  template <typename Protocol>
  static typename Protocol::endpoint At(const std::string& text) {
    size_t colon = text.find(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
  }

  void Say(const std::string& what, const std::string& rest) {
    std::cout << "fleet at_us=" << schedule_.Now() << " pid=" << getpid() << " what=" << what << " " << rest
              << std::endl;
  }

  // The number goes up with each start. What can't be read, or does not add up, is as good as nothing.
  void Remember() {
    std::ifstream in(kept_);
    long number = 0, check = 0;
    if (!(in >> number >> check) || check != number * 7919 + 1) number = 0;
    if (cut_ == "old" && number > 1) --number;
    Say("trusts", "subject=number amount=" + std::to_string(number));
    long next = (number > 0 ? number : time(nullptr)) + 1;
    std::ofstream out(kept_ + ".new");
    out << next << " " << next * 7919 + 1 << "\n";
    if (out.flush() && std::rename((kept_ + ".new").c_str(), kept_.c_str()) == 0)
      Say("kept", "subject=number amount=" + std::to_string(next));
  }

  void Read() {
    socket_.async_receive_from(asio::buffer(datagram_), sender_,
                               [this](boost::system::error_code error, size_t) {
                                 for (size_t p = 0; !error && p < peers_.size(); ++p) {
                                   if (At<udp>(peers_[p]) == sender_) heard_[p] = schedule_.Now();
                                 }
                                 Look();
                                 Read();
                               });
  }

  void Beat() {
    int times = cut_ == "storm" ? 20 : 1;
    std::string bytes(cut_ == "long" ? 300 : 24, 'x');
    for (int p = 0; p < of_; ++p) {
      boost::system::error_code ignored;
      for (int i = 0; p != number_ && i < times; ++i)
        socket_.send_to(asio::buffer(bytes), At<udp>(peers_[static_cast<size_t>(p)]), 0, ignored);
    }
    Look();
    schedule_.After(kBeat, [this] { Beat(); });
  }

  void Look() {
    std::string view;
    for (int p = 0; p < of_; ++p) {
      Micros at = heard_[static_cast<size_t>(p)];
      bool there =
          p == number_ || (at >= 0 && (at + kHeard > schedule_.Now() || (cut_ == "blind" && number_ == 0)));
      view += there ? '1' : '0';
    }
    if (view != view_) Say("view", "subject=" + view);
    view_ = view;
  }

  void Renew() {
    if (cut_ == "stale" && until_ > 0) Say("uses", "subject=budget amount=1");
    double part = kWhole / of_ * (cut_ == "greedy" && number_ == 1 ? 1.5 : 1);
    until_ = schedule_.Now() + kTerm;
    Say("whole", "subject=budget amount=" + std::to_string(kWhole));
    Say("holds", "subject=budget amount=" + std::to_string(part) + " until_us=" + std::to_string(until_));
    schedule_.After(kTerm / 2, [this] { Renew(); });
  }

  void Use() {
    // Its own clock at the moment of use; without that look it uses what it held before it was stopped.
    bool mine = schedule_.Now() < until_;
    if (mine || cut_ == "stale") Say("uses", "subject=budget amount=1");
    schedule_.After(kTerm / 8, [this] { Use(); });
  }

  asio::io_context io_{1};
  Schedule schedule_;
  const int number_, of_;
  const std::vector<std::string> peers_;
  const std::string kept_, cut_;
  udp::socket socket_;
  HttpServer server_;
  udp::endpoint sender_;
  std::array<char, 512> datagram_;
  std::vector<Micros> heard_;
  std::string view_;
  Micros until_ = 0;
};

}  // namespace

int main() {
  std::ifstream in(std::getenv("LB_CONFIG"));
  signal(SIGTERM, [](int) { _exit(0); });
  Member member(nlohmann::json::parse(in));
}
