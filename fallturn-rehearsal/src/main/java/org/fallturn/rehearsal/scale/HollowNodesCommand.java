package org.fallturn.rehearsal.scale;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;
import org.fallturn.rehearsal.ForegroundProcess;
import org.slf4j.LoggerFactory;

/** {@code fallturn-rehearsal hollow-nodes}: holds the hollow nodes of one rack. */
public final class HollowNodesCommand implements Command {

  @Override
  public String name() {
    return "hollow-nodes";
  }

  @Override
  public String help() {
    return "hold hollow nodes for experiment scale";
  }

  @Override
  public void declare(Subparser parser) {
    // It takes no arguments: the experiment tells it over its port what to start.
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    Logger root = (Logger) LoggerFactory.getLogger("org.fallturn");
    root.setLevel(Level.WARN);
    HollowRack rack = new HollowRack();
    return ForegroundProcess.serve(rack.address(), rack);
  }
}
