package org.fallturn.rehearsal.faults;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.command.Command;
import org.fallturn.rehearsal.ForegroundProcess;

/** {@code fallturn-rehearsal faults}. */
public final class FaultsCommand implements Command {

  @Override
  public String name() {
    return "faults";
  }

  @Override
  public String help() {
    return "fault-injecting proxy, controlled by HTTP";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--listen").setDefault("127.0.0.1:0").help("control address, host:port");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the random faults");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    FaultProxy proxy = new FaultProxy(arguments.getLong("seed"));
    FaultControl control =
        new FaultControl(proxy, NetworkAddress.parse(arguments.getString("listen")));
    return ForegroundProcess.serve(control.address(), control);
  }
}
