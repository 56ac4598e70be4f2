package org.fallturn.node.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.gateway.RequestTimeline;

/** {@code fallturn explain}: prints the timeline of one request from the logs of gateways. */
public final class ExplainCommand implements Command {

  private static final String FILES = "files";
  private static final String REQUEST = "request";

  private final PrintStream out;

  /** Creates the command; it prints to the given stream. */
  public ExplainCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String help() {
    return "tell the story of one request from the logs of gateways";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument(FILES).nargs("+").metavar("LOG").help("log file of a gateway");
    parser.addArgument("--" + REQUEST).required(true).metavar("ID").help("id of the request");
  }

  @Override
  public int run(Namespace arguments) throws IOException {
    String request = arguments.getString(REQUEST);
    List<Path> files = new ArrayList<>();
    arguments.<String>getList(FILES).forEach(file -> files.add(Path.of(file)));
    List<String> timeline = RequestTimeline.of(files, request);
    if (timeline.isEmpty()) {
      out.println("no line of these logs names request " + request);
      return FAILED;
    }
    timeline.forEach(out::println);
    return OK;
  }
}
