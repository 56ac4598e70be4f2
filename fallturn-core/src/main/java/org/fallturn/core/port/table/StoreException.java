package org.fallturn.core.port.table;

/** The table service or the object store gave no usable answer. */
public class StoreException extends Exception {

  private final boolean mayHaveTakenEffect;

  /**
   * @param mayHaveTakenEffect false only when the store certainly did not see the request
   */
  public StoreException(String message, boolean mayHaveTakenEffect, Throwable cause) {
    super(message, cause);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Whether a write may have taken effect although no answer came. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
