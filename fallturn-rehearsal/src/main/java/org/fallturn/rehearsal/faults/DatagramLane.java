package org.fallturn.rehearsal.faults;

import java.io.IOException;
import java.util.Random;

/** One direction of a datagram link: loses, doubles, reorders and delays. Used by one thread. */
final class DatagramLane {

  private final DatagramDelays delays;
  private final Random random;
  private final Output output;
  private byte[] heldBack;

  /** Where datagrams come out. */
  interface Output {
    void send(byte[] content) throws IOException;
  }

  DatagramLane(DatagramDelays delays, Random random, Output output) {
    this.delays = delays;
    this.random = random;
    this.output = output;
  }

  void pass(byte[] content, LinkFaults now, boolean held) {
    if (now.cut() || held || random.nextDouble() < now.loss()) {
      return;
    }
    if (heldBack == null && random.nextDouble() < now.reordering()) {
      heldBack = content;
      return;
    }
    send(content, now);
    if (random.nextDouble() < now.duplication()) {
      send(content, now);
    }
    if (heldBack != null) {
      byte[] late = heldBack;
      heldBack = null;
      send(late, now);
    }
  }

  private void send(byte[] content, LinkFaults now) {
    delays.run(now.delayMillis(), () -> sendNow(content));
  }

  private void sendNow(byte[] content) {
    try {
      output.send(content);
    } catch (IOException e) {
      // A datagram that cannot be sent is a lost datagram.
      return;
    }
  }
}
