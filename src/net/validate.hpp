// The strictness that the HTTP library lacks: what is wrong with a header that it has parsed.
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

// Why a message is turned away.
struct RequestError {
  http::status status;
  const char* text;
};

// A target in absolute form becomes a path, and its host the request's (RFC 9112, 3.2.2). Any other is left.
void ConvertToOriginForm(RequestHeader& header);

// A request's framing and the form of its fields, whatever it asks for.
std::optional<RequestError> ValidateRequest(const RequestHeader& header);

// That a request is what its class says: method and key follow from whether it may be repeated.
std::optional<RequestError> ValidateForClass(const RequestHeader& header, RetrySafety repeat);

// True if an answer's framing is beyond doubt and its length within what a body may have.
bool IsValidResponse(const ResponseHeader& header);

// True if an answer's body ends with its connection, as it says itself (RFC 9112, 6.3).
bool IsDelimitedByClose(const ResponseHeader& header);

// A plain decimal number such as 0.480: no sign, no exponent, nothing around it.
std::optional<double> ParseDecimal(std::string_view text);

// The form that ParseDecimal reads, of a time in seconds: 0.480.
std::string FormatSeconds(Micros time);

inline std::string_view ToStringView(beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_VALIDATE_HPP_
