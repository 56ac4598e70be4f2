package org.fallturn.rehearsal.emulator;

/** When an emulated engine crashes on a content that it cannot bear. */
public enum EngineCrash {
  /** While it reads the prompt, ahead or in a run. */
  WHILE_READING,
  /** When it begins the run, before any byte of the answer. */
  BEFORE_ANSWER,
  /** After the first event of the answer. */
  MIDWAY
}
