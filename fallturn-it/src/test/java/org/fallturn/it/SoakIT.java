package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import org.fallturn.rehearsal.soak.SoakCommand;
import org.junit.jupiter.api.Test;

/**
 * Plays one round of the soak: three gateway processes under a minute of faults that overlap. With
 * this seed all decode engines end and start again while the store is silent; an engine that wanted
 * rest was sent 256 requests that were meant for the engine before it.
 */
class SoakIT {

  private static final long SEED = 81002;

  @Test
  void allPromisesAreKeptUnderOverlappingFaults() throws Exception {
    Namespace arguments =
        new Namespace(
            Map.of(
                "minutes",
                1,
                "seed",
                SEED,
                "gateways",
                3,
                "other_build",
                "",
                "out",
                "target/soak-logs"));
    assertThat(new SoakCommand().run(arguments)).as("exit status").isZero();
  }
}
