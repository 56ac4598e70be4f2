package org.fallturn.rehearsal.platform;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.command.Command;
import org.fallturn.rehearsal.ForegroundProcess;

/** {@code fallturn-rehearsal platform}. */
public final class PlatformCommand implements Command {

  @Override
  public String name() {
    return "platform";
  }

  @Override
  public String help() {
    return "stand-in of the platform";
  }

  @Override
  public void declare(Subparser parser) {
    PlatformSettings defaults = PlatformSettings.defaults();
    parser.addArgument("--listen").setDefault(defaults.listen().toString()).help("host:port");
    parser
        .addArgument("--table-requests-per-second")
        .type(Double.class)
        .setDefault(defaults.tableRequestsPerSecond());
    parser
        .addArgument("--object-requests-per-second")
        .type(Double.class)
        .setDefault(defaults.objectRequestsPerSecond());
    parser
        .addArgument("--weight-bytes-per-second")
        .type(Double.class)
        .setDefault(defaults.weightBytesPerSecond());
    parser.addArgument("--weight-bytes").type(Long.class).setDefault(defaults.weightBytes());
    parser
        .addArgument("--machine-lag-millis")
        .type(Long.class)
        .setDefault(defaults.machineLagMillis());
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    PlatformSettings settings =
        new PlatformSettings(
            NetworkAddress.parse(arguments.getString("listen")),
            arguments.getDouble("table_requests_per_second"),
            arguments.getDouble("object_requests_per_second"),
            arguments.getDouble("weight_bytes_per_second"),
            arguments.getLong("weight_bytes"),
            arguments.getLong("machine_lag_millis"));
    PlatformStandIn platform = new PlatformStandIn(settings).start();
    return ForegroundProcess.serve(platform.address(), platform);
  }
}
