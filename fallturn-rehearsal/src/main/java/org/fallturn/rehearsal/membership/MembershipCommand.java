package org.fallturn.rehearsal.membership;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;
import org.fallturn.node.json.JsonCodec;

/** {@code fallturn-rehearsal experiment membership}. */
public final class MembershipCommand implements Command {

  private static final long SETTLE_SECONDS = 30;
  private static final long MEASURE_SECONDS = 20;
  private static final long LOSS_SECONDS = 40;
  private static final double LOSS_RATE = 0.05;

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public String help() {
    return "gossip's bytes, processor time, detection time and false suspicions";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--members")
        .type(Integer.class)
        .nargs("+")
        .setDefault(List.of(10, 60, 120))
        .help("sizes of the zone");
    parser.addArgument("--json").help("file to write the samples to");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    MembershipPlan plan =
        new MembershipPlan(
            arguments.getList("members"), SETTLE_SECONDS, MEASURE_SECONDS, LOSS_SECONDS, LOSS_RATE);
    List<MembershipSample> samples = new MembershipExperiment(plan, System.out).run();
    String file = arguments.getString("json");
    if (file != null) {
      Files.write(
          Path.of(file),
          new JsonCodec().mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(samples));
    }
    return 0;
  }
}
