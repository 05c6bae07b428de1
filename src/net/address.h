// Addresses of sockets as text.
#pragma once

#include <uv.h>

#include <string>

namespace indigosaddle::net {

// False where the text is not "ip:port".
bool ParseAddress(const std::string& text, sockaddr_storage& address);

// Where a listener is bound, as "ip:port" or "[ip]:port"; empty where it is none or the system does not say.
std::string BoundAddress(const uv_tcp_t* listener);
std::string BoundAddress(int descriptor);

}  // namespace indigosaddle::net
