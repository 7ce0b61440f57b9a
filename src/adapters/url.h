/// URL escaping, by GLib.
#pragma once

#include <glib.h>

#include <string>

namespace pumicemast {

/// Percent-encodes every character outside the unreserved set of RFC 3986.
inline std::string url_escape(const std::string& text) {
  gchar* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result = escaped;
  g_free(escaped);
  return result;
}

}  // namespace pumicemast
