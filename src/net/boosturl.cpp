// Boost.URL is not header-only: this compiles it into the library.
#include <boost/url/src.hpp>
