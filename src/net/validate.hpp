// HTTP header validation beyond that of the HTTP library, against request smuggling and invalid requests.
#ifndef MERLINRUN_NET_VALIDATE_HPP_
#define MERLINRUN_NET_VALIDATE_HPP_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

struct RequestError {
  http::status status;
  const char* text;
};

// Converts a target in absolute form to origin form and sets Host (RFC 9112, 3.2.2). Leaves other targets
// unchanged.
void ConvertToOriginForm(RequestHeader& header);

// Checks the framing and header fields of a request, independent of its class.
std::optional<RequestError> ValidateRequest(const RequestHeader& header);

// Checks the method and idempotency key of a request against its class.
std::optional<RequestError> ValidateForClass(const RequestHeader& header, RetrySafety retry_safety);

// True if the framing of a response is unambiguous and its length within the body limit.
bool IsValidResponse(const ResponseHeader& header);

// True if the body of a response ends with its connection (RFC 9112, 6.3).
bool IsDelimitedByClose(const ResponseHeader& header);

// Parses a decimal number such as 0.480 without sign, exponent or surrounding characters.
std::optional<double> ParseDecimal(std::string_view text);

// Formats a time in seconds as ParseDecimal reads it: 0.480.
std::string FormatSeconds(Micros time);

inline std::string_view ToStringView(beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_VALIDATE_HPP_
