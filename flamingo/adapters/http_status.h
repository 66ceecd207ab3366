#ifndef FLAMINGO_ADAPTERS_HTTP_STATUS_H
#define FLAMINGO_ADAPTERS_HTTP_STATUS_H

// HTTP status codes that the programs on the platform send or handle.

namespace flamingo::adapters {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusMethod = 405; // method not allowed
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusOtherInstance = 421; // misdirected request: meant for another instance
constexpr int statusTooMany = 429; // too many requests
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504; // gateway timeout
constexpr int statusFull = 507; // insufficient storage

} // namespace flamingo::adapters

#endif
