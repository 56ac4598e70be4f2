package org.fallturn.rehearsal.application;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.command.Command;
import org.fallturn.rehearsal.ForegroundProcess;

/** {@code fallturn-rehearsal application}. */
public final class ApplicationCommand implements Command {

  @Override
  public String name() {
    return "application";
  }

  @Override
  public String help() {
    return "stand-in of an application back end";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--id").setDefault("application-1").help("name of the machine");
    parser.addArgument("--listen").setDefault("127.0.0.1:0").help("host:port");
    parser
        .addArgument("--delay-millis")
        .type(Long.class)
        .setDefault(5L)
        .help("time a request takes");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    ApplicationSettings settings =
        new ApplicationSettings(
            arguments.getString("id"),
            NetworkAddress.parse(arguments.getString("listen")),
            arguments.getLong("delay_millis"));
    ApplicationStandIn application = new ApplicationStandIn(settings).start();
    return ForegroundProcess.serve(application.address(), application);
  }
}
