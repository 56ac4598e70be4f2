package org.fallturn.rehearsal.experiment;

import java.io.PrintStream;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.node.json.JsonCodec;

/**
 * Measures how many placements a second one scheduler decides on one thread, by the thread's own
 * processor time: a pool of the zone scale and a whole zone's engines in one pool, below and above
 * its capacity. Stateless.
 */
public final class SchedulerSpeedExperiment implements Experiment {
  private static final List<Integer> ENGINES = List.of(41, 450);
  private static final List<Double> LOADS = List.of(0.7, 1.3);

  @Override
  public String name() {
    return "scheduler-speed";
  }

  @Override
  public int run(ExperimentOptions options, PrintStream output) throws Exception {
    List<SchedulerSpeed> speeds = new ArrayList<>();
    TextTable table = new TextTable("engines", "load", "decisions/s", "placed %", "most queued");
    for (int engines : ENGINES) {
      for (double load : LOADS) {
        SchedulerSpeed speed = new SchedulerDrive(engines, load, options.firstSeed()).run();
        speeds.add(speed);
        table.add(
            Integer.toString(engines),
            TextTable.number(load, 1),
            TextTable.number(speed.decisionsPerSecond(), 0),
            TextTable.number(speed.placedPercent(), 1),
            Integer.toString(speed.mostQueued()));
      }
    }
    Files.writeString(options.output().resolve("scheduler-speed.txt"), table.toString());
    Files.write(options.output().resolve("scheduler-speed.json"), new JsonCodec().encode(speeds));
    output.println(table);
    return 0;
  }
}
