// Precompiled: the heavy library headers that nearly every file under src/net/ includes.
#pragma once
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
