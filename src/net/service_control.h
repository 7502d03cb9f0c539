// Operators' control of whether a gateway process serves clients.
#ifndef LEMONCHUTE_NET_SERVICE_CONTROL_H_
#define LEMONCHUTE_NET_SERVICE_CONTROL_H_

namespace lemonchute::net {

/// Implemented by Lifecycle, used by AdminApi.
class ServiceControl {
 public:
  virtual ~ServiceControl() = default;

  /// @return whether the process accepts clients, has an endpoint list and does not drain.
  virtual bool IsReady() const = 0;
  /// Starts to drain.
  virtual void TakeOutOfService() = 0;
  /// @return whether the process is shutting down, which is final.
  virtual bool IsShuttingDown() const = 0;
  /// Ends a drain. Must not be called while the process is shutting down.
  virtual void ReturnToService() = 0;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SERVICE_CONTROL_H_
