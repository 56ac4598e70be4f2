package org.fallturn.rehearsal.modelcheck;

import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;

/** {@code check-invariants}: the model checker on the command line. */
public final class CheckInvariantsCommand implements Command {

  private static final int DEFAULT_SEEDS = 200;
  private static final int MAX_REPORTS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  @Override
  public String name() {
    return "check-invariants";
  }

  @Override
  public String help() {
    return "run the model checker over many seeds; exit status 1 when an invariant is broken";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(DEFAULT_SEEDS)
        .help("how many seeds each scenario is run with");
    parser.addArgument("--start").type(Long.class).setDefault(1L).help("the first seed");
    parser.addArgument("--scenario").setDefault("").help("run only this scenario");
    parser
        .addArgument("--variant")
        .type(BrokenVariant.class)
        .help("build in a deliberate fault; the run must then fail");
  }

  @Override
  public int run(Namespace arguments) {
    Optional<BrokenVariant> variant = Optional.ofNullable(arguments.get("variant"));
    String only = variant.map(BrokenVariant::scenario).orElse(arguments.getString("scenario"));
    boolean broken = false;
    for (Scenario scenario : ModelChecker.scenarios()) {
      if (only.isEmpty() || only.equals(scenario.name())) {
        broken |= check(scenario, arguments, variant);
      }
    }
    return broken ? 1 : 0;
  }

  private static boolean check(
      Scenario scenario, Namespace arguments, Optional<BrokenVariant> variant) {
    long began = System.nanoTime();
    ModelChecker.CheckResult result =
        ModelChecker.check(
            scenario, arguments.getLong("start"), arguments.getInt("seeds"), variant);
    double seconds = (System.nanoTime() - began) / NANOS_PER_SECOND;
    System.out.printf(
        "%s: %d seeds, %d violations, %.1f s%n  %s%n",
        scenario.name(),
        result.seeds(),
        result.violations().size(),
        seconds,
        result.coverage().summary());
    result.violations().stream()
        .limit(MAX_REPORTS)
        .forEach(violation -> System.out.println(violation.report()));
    return !result.violations().isEmpty();
  }
}
