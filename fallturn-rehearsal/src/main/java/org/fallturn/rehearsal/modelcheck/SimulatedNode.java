package org.fallturn.rehearsal.modelcheck;

/**
 * A process that can be paused and killed. While it is paused, everything that should happen in it
 * waits; its clock runs on.
 */
class SimulatedNode {

  private final Simulation simulation;
  private final String name;
  private final SimulatedClock clock;
  private long pausedUntilNanos;
  private boolean alive = true;

  SimulatedNode(Simulation simulation, String name) {
    this.simulation = simulation;
    this.name = name;
    this.clock = new SimulatedClock(simulation.random());
  }

  final Simulation simulation() {
    return simulation;
  }

  final String name() {
    return name;
  }

  final long clockNanos() {
    return clock.now(simulation.now());
  }

  final boolean isAlive() {
    return alive;
  }

  final void kill() {
    simulation.trace(() -> name + " is killed");
    alive = false;
  }

  final void pause(long nanos) {
    simulation.trace(() -> name + " is paused for " + nanos / 1_000_000 + " ms");
    pausedUntilNanos = simulation.now() + nanos;
  }

  /** Runs something in the process: at once, after its pause, or never. */
  final void inProcess(Runnable action) {
    if (!alive) {
      return;
    }
    if (pausedUntilNanos > simulation.now()) {
      simulation.after(pausedUntilNanos - simulation.now(), () -> inProcess(action));
      return;
    }
    action.run();
  }

  /** Runs something in the process after a while. */
  final void later(long nanos, Runnable action) {
    simulation.after(nanos, () -> inProcess(action));
  }
}
