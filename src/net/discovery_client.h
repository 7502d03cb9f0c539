// Client of service discovery: fetches a snapshot, or the changes since a known version, and then long-polls
// for further changes (a watch).
#ifndef LEMONCHUTE_NET_DISCOVERY_CLIENT_H_
#define LEMONCHUTE_NET_DISCOVERY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "net/endpoint_list.h"
#include "net/http.h"
#include "net/steady_clock.h"

namespace lemonchute::net {

/// Polls discovery over one connection and retries failed calls. Must outlive every handler that it has
/// queued on `io`.
///
/// Order of calls: Resume if a version is known, then Start; SetAddress, SetSocketSettings and Stop at any
/// time.
class DiscoveryClient {
 public:
  using OnList = std::function<void(BackendList)>;
  using OnFailed = std::function<void()>;

  /// @param ids not owned; assigns the ids of listed backends
  /// @param on_list called with each list, after the next poll has been started
  /// @param on_failed called after each call that failed
  /// @param seed of the backoff's jitter
  DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                  std::shared_ptr<const policy::SocketSettings> socket_settings, BackendIds* ids,
                  OnList on_list, OnFailed on_failed, uint64_t seed);

  /// Before Start: continues from a known version, which costs discovery less than a snapshot.
  void Resume(uint64_t index);
  /// Does nothing if already running.
  void Start();
  void Stop();
  /// Polls another address from now on. Requests the changes since the known version at once, and a snapshot
  /// some time later, since discovery can't serve one to every gateway of a fleet at the same time.
  void SetAddress(const tcp::endpoint& address);
  /// Replaces the settings. Requests a new snapshot if the names of zones or kinds have changed.
  void SetSocketSettings(std::shared_ptr<const policy::SocketSettings> socket_settings);

 private:
  void Restart();
  Clock::duration RandomUpTo(Clock::duration limit);
  Clock::duration MaxBackoff() const;
  void Poll();
  void Connect();
  void Send();
  void Read();
  void OnRead(error_code error, size_t size);
  void OnResponse();
  void OnFailure(bool refused = false);  // refused: answered with a status other than 200

  asio::io_context& io_;
  tcp::endpoint address_;
  std::shared_ptr<const policy::SocketSettings> socket_settings_;
  BackendIds* ids_;
  OnList on_list_;
  OnFailed on_failed_;
  tcp::socket socket_;
  asio::steady_timer timer_;                                   // timeout of a call, then the backoff
  boost::beast::flat_buffer buffer_{kMaxHeader + kReadChunk};  // an incomplete element and one read
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string request_;
  std::optional<uint64_t> index_;  // version of the latest list
  uint64_t call_ = 0;              // number of the current call; handlers of earlier calls do nothing
  Clock::duration backoff_{};
  std::optional<Clock::time_point> snapshot_due_;  // set while a new address has not sent a snapshot
  std::mt19937_64 rng_;
  bool running_ = false;
  bool snapshot_next_ = true;
  bool resuming_ = false;  // no call since Resume has succeeded
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_DISCOVERY_CLIENT_H_
