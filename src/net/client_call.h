// Parsing and validation of a client's request: class, plan, customer, units and timeout.
#ifndef LEMONCHUTE_NET_CLIENT_CALL_H_
#define LEMONCHUTE_NET_CLIENT_CALL_H_

#include <string_view>

#include "net/client_server.h"
#include "net/config.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// Upper bound of a client's timeout.
inline constexpr double kMaxTimeoutS = 600;

/// A validated request.
struct ClientCall {
  int status = 0;  ///< 0 if the request is valid, else the status code of the response.
  policy::Request request;
  double timeout_s = 0;  ///< The client's timeout, limited by its class.
};

/// Extracts from the client's message what the policy needs.
ClientCall ParseCall(const ClientMessage& message, const Config& config);

/// @return the target of a request without scheme and host
std::string_view OriginForm(std::string_view target);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CLIENT_CALL_H_
