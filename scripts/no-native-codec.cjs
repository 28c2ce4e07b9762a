// Takes the place of the native part of msgpackr, which goes on without it.
throw new Error('the native codec is not bundled');
