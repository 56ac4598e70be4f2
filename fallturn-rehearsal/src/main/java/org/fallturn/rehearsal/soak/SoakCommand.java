package org.fallturn.rehearsal.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;

/**
 * {@code soak}: real gateway processes under faults drawn from a seed.
 *
 * <pre>{@code
 * bin/fallturn-rehearsal soak --minutes 10
 * bin/fallturn-rehearsal soak --minutes 1 --seed 4711
 * }</pre>
 */
public final class SoakCommand implements Command {

  private static final Duration ROUND = Duration.ofMinutes(1);
  private static final int DEFAULT_MINUTES = 5;
  private static final int DEFAULT_GATEWAYS = 3;
  private static final int MAX_GATEWAYS = 200;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String help() {
    return "run gateway processes under drawn faults; exit status 1 when a promise is broken";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--minutes")
        .type(Integer.class)
        .setDefault(DEFAULT_MINUTES)
        .help("rounds of a minute, each with a fleet and a seed of its own");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .help("seed of the first round; drawn when it is left out");
    parser
        .addArgument("--other-build")
        .setDefault("")
        .help("class path of another build, which every second start of a gateway runs");
    parser
        .addArgument("--gateways")
        .type(Integer.class)
        .setDefault(DEFAULT_GATEWAYS)
        .choices(Arguments.range(1, MAX_GATEWAYS))
        .help("number of gateway processes, some 150 MB each");
    parser.addArgument("--out").setDefault("soak-logs").help("folder for logs");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    Long given = arguments.getLong("seed");
    long first = given == null ? new Random().nextInt(Integer.MAX_VALUE) : given;
    int gateways = arguments.getInt("gateways");
    String otherBuild = arguments.getString("other_build");
    Path out = Path.of(arguments.getString("out"));
    List<Long> broken = new ArrayList<>();
    for (int round = 0; round < arguments.getInt("minutes"); round++) {
      long seed = first + round;
      SoakSchedule schedule = SoakSchedule.draw(seed, ROUND);
      Path logs = out.resolve("seed-" + seed);
      if (!new SoakRun(schedule, gateways, logs, otherBuild, System.out).play()) {
        broken.add(seed);
      }
    }
    System.out.println(broken.isEmpty() ? "all rounds good" : "not good: seeds " + broken);
    return broken.isEmpty() ? 0 : 1;
  }
}
