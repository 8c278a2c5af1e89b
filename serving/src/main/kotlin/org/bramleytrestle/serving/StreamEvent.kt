package org.bramleytrestle.serving

/** A complete event of a stream: its number, if it has one, and its raw bytes. */
public class StreamEvent(public val number: Long?, public val bytes: ByteArray)
