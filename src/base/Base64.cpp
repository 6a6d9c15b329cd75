#include "celeryline/base/Base64.h"

#include "celeryline/base/Error.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <iterator>
#include <sstream>

namespace celeryline {

std::string toBase64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    encoder.close();
    return text.str();
}

std::string fromBase64(const std::string& text)
{
    std::istringstream source(text);
    Poco::Base64Decoder decoder(source);
    std::string bytes { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
    if (bytes.size()
        != text.size() / 4 * 3 - (text.size() >= 2 && text[text.size() - 2] == '=')
            - (!text.empty() && text.back() == '=')) {
        throw Error(ErrorKind::InvalidInput, "the text is not Base64", "send the bytes in Base64");
    }
    return bytes;
}

} // namespace celeryline
