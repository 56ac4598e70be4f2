package org.fallturn.rehearsal.signals;

import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;

/**
 * {@code signals}: requests at engines and gateways that are killed, suspended and stopped; refused
 * ones come again with the same id, and engines repeat their answers.
 *
 * <pre>{@code
 * bin/fallturn-rehearsal signals --rounds 5 --seed 4711
 * }</pre>
 */
public final class SignalsCommand implements Command {

  private static final int DEFAULT_SECONDS = 45;

  @Override
  public String name() {
    return "signals";
  }

  @Override
  public String help() {
    return "kill, suspend and stop processes beside callers that come back; exit status 1 when a"
        + " request runs twice, is lost, or ran and is refused";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--rounds").type(Integer.class).setDefault(1).help("number of rounds");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(DEFAULT_SECONDS)
        .help("length of a round");
    parser.addArgument("--seed").type(Long.class).required(true).help("seed of the first round");
    parser
        .addArgument("--out")
        .setDefault("signals-logs")
        .help("folder for logs, which must have none of these seeds");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    long first = arguments.getLong("seed");
    Duration length = Duration.ofSeconds(arguments.getInt("seconds"));
    Path out = Path.of(arguments.getString("out"));
    List<Long> broken = new ArrayList<>();
    for (int round = 0; round < arguments.getInt("rounds"); round++) {
      long seed = first + round;
      Path logs = out.resolve("seed-" + seed);
      if (Files.exists(logs)) {
        throw new FileAlreadyExistsException(logs.toString(), null, "its runs would count again");
      }
      if (!new SignalsRun(seed, length, logs, System.out).play()) {
        broken.add(seed);
      }
    }
    System.out.println(broken.isEmpty() ? "all rounds good" : "not good: seeds " + broken);
    return broken.isEmpty() ? 0 : 1;
  }
}
