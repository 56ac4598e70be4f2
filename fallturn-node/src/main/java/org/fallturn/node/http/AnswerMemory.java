package org.fallturn.node.http;

/** Bound on the memory for an answer that is kept whole while it is read. */
public final class AnswerMemory {

  private static final int MAX_BYTES = 64 * 1024 * 1024;

  /** Reading copies an answer a few times; without memory, a process ends. */
  private static final int PARTS_OF_HEAP = 8;

  private AnswerMemory() {}

  /** Largest answer in bytes that is read, for the heap of this process. */
  public static int maxBytes() {
    return (int) Math.min(MAX_BYTES, Runtime.getRuntime().maxMemory() / PARTS_OF_HEAP);
  }
}
