#ifndef FLAMINGO_ADAPTERS_HTTP_STATUS_H
#define FLAMINGO_ADAPTERS_HTTP_STATUS_H

// HTTP status codes that the processes send or handle.

namespace flamingo::adapters {

constexpr int statusOk = 200;
constexpr int statusAccepted = 202; // received, but not carried out yet
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusRequestTimeout = 408; // the server did not receive the whole request
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusMisdirectedRequest = 421; // meant for another instance of the server
constexpr int statusTooManyRequests = 429;
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusInsufficientStorage = 507;

} // namespace flamingo::adapters

#endif
