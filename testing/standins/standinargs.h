#pragma once

/// Command-line options that every stand-in has.

#include "standins/faultserver.h"

#include <tclap/CmdLine.h>

#include <string>

namespace Catkin
{

struct StandinArgs
{
    /// @param cmd command line that gets the options
    /// @param defaultThreads size of the connection pool unless given
    StandinArgs(TCLAP::CmdLine &cmd, int defaultThreads)
        : port("", "port", "port on 127.0.0.1; 0 lets the operating system choose", false, 0, "0-65535", cmd)
        , threads("", "threads", "connections served at once", false, defaultThreads, "1-256", cmd)
        , exitOnEof("", "exit-on-eof", "exit when standard input reaches its end", cmd)
        , historyFile("", "history-file", "append every event to this file", false, "", "path", cmd)
    {
    }

    [[nodiscard]] auto serverOptions() -> FaultServerOptions
    {
        return {.port = port.getValue(), .exitOnEof = exitOnEof.getValue(), .historyFile = historyFile.getValue()};
    }

    TCLAP::ValueArg<int> port;
    TCLAP::ValueArg<int> threads;
    TCLAP::SwitchArg exitOnEof;
    TCLAP::ValueArg<std::string> historyFile;
};

}
