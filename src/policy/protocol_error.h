/// The error for input that violates a protocol or the rules of the configuration.
#ifndef LEMONCHUTE_POLICY_PROTOCOL_ERROR_H_
#define LEMONCHUTE_POLICY_PROTOCOL_ERROR_H_

#include <stdexcept>

namespace lemonchute::policy {

/// The message names the field or the setting and says what is wrong with it.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_PROTOCOL_ERROR_H_
